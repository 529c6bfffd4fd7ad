package kernel

import (
	"context"
	"encoding/json"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/pkg/errors"
)

// subscriberBuffer is the number of events that wait for a slow subscriber before Publish blocks.
const subscriberBuffer = 256

// Event is a change of state that services of one process tell each other.
type Event interface {
	// Topic names the kind of event. All events of one type share it.
	Topic() string
}

// Bus carries events between the services of a process. It carries changes of state only, never
// a message per query, since each event is encoded and copied to every subscriber.
type Bus struct {
	pubsub *gochannel.GoChannel
}

// NewBus returns an open bus.
func NewBus() *Bus {
	cfg := gochannel.Config{OutputChannelBuffer: subscriberBuffer}
	return &Bus{pubsub: gochannel.NewGoChannel(cfg, watermill.NopLogger{})}
}

// Publish hands an event to the present subscribers of its topic.
func (b *Bus) Publish(ev Event) error {
	payload, err := json.Marshal(ev)
	if err != nil {
		return errors.Wrapf(err, "encode event %s", ev.Topic())
	}
	msg := message.NewMessage(watermill.NewUUID(), payload)
	return errors.Wrapf(b.pubsub.Publish(ev.Topic(), msg), "publish event %s", ev.Topic())
}

// Subscribe calls handle with each event of type T, one at a time, until ctx is done or the bus
// is closed.
func Subscribe[T Event](ctx context.Context, b *Bus, handle func(T)) error {
	var zero T
	messages, err := b.pubsub.Subscribe(ctx, zero.Topic())
	if err != nil {
		return errors.Wrapf(err, "subscribe to %s", zero.Topic())
	}
	go func() {
		for msg := range messages {
			var ev T
			if err := json.Unmarshal(msg.Payload, &ev); err != nil {
				panic(errors.Wrapf(err, "event of topic %s does not decode", zero.Topic()))
			}
			handle(ev)
			msg.Ack()
		}
	}()
	return nil
}

// Close ends all subscriptions.
func (b *Bus) Close() error {
	return errors.Wrap(b.pubsub.Close(), "close event bus")
}
