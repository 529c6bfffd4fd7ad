package kernel

import (
	"context"
	"encoding/json"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/pkg/errors"
)

// subscriberBuffer is the number of events queued for a slow subscriber before Publish blocks.
const subscriberBuffer = 256

// Event is a state change that a service announces to the other services of its process.
type Event interface {
	// Topic returns the topic of the event. All events of one type share a topic.
	Topic() string
}

// Bus delivers events between the services of a process. It is meant for state changes only and not
// for per-query messages, because each event is encoded and copied to every subscriber.
type Bus struct {
	pubsub *gochannel.GoChannel
}

// NewBus returns an open bus.
func NewBus() *Bus {
	cfg := gochannel.Config{OutputChannelBuffer: subscriberBuffer}
	return &Bus{pubsub: gochannel.NewGoChannel(cfg, watermill.NopLogger{})}
}

// Publish delivers an event to the current subscribers of its topic.
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
				panic(errors.Wrapf(err, "decode event of topic %s", zero.Topic()))
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
