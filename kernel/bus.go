package kernel

import (
	"context"
	"encoding/json"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/pkg/errors"
)

// Event is a state change that a service announces to the other services of its process.
type Event interface {
	// Topic returns the topic of the event. All events of one type share a topic.
	Topic() string
}

// Bus delivers events between the services of a process. Each subscriber gets the events of a topic in the order in which
// they were published. The bus is meant for state changes only and not for per-query messages. Subscribers share the value
// of an event, so that a configuration of a megabyte is not encoded and decoded for each of them; they must not change
// what it refers to.
type Bus struct {
	pubsub *gochannel.GoChannel
}

// NewBus returns an open bus.
func NewBus() *Bus {
	// Without waiting for the acknowledgement, GoChannel delivers each message in a goroutine of its own, in any order.
	cfg := gochannel.Config{BlockPublishUntilSubscriberAck: true, PreserveContext: true}
	return &Bus{pubsub: gochannel.NewGoChannel(cfg, watermill.NopLogger{})}
}

// eventKey is the context key of the event of a message.
type eventKey struct{}

// Publish queues an event for the current subscribers of its topic. It does not wait until they have handled it.
func (b *Bus) Publish(ev Event) error {
	msg := message.NewMessage(watermill.NewUUID(), nil)
	msg.SetContext(context.WithValue(context.Background(), eventKey{}, ev))
	return errors.Wrapf(b.pubsub.Publish(ev.Topic(), msg), "publish event %s", ev.Topic())
}

// Subscribe calls handle with each event of type T, one at a time and in order, until ctx is done or the bus
// is closed. A slow handler delays no publisher: its events are queued without a limit.
func Subscribe[T Event](ctx context.Context, b *Bus, handle func(T)) error {
	var zero T
	messages, err := b.pubsub.Subscribe(ctx, zero.Topic())
	if err != nil {
		return errors.Wrapf(err, "subscribe to %s", zero.Topic())
	}
	events := newQueue[T]()
	go func() {
		defer events.close()
		for msg := range messages {
			events.add(eventOf[T](msg))
			msg.Ack()
		}
	}()
	go func() {
		for ev, ok := events.next(); ok; ev, ok = events.next() {
			handle(ev)
		}
	}()
	return nil
}

// eventOf returns the event of a message. A publisher may extend the type of an event; the event is then converted.
func eventOf[T Event](msg *message.Message) T {
	value := msg.Context().Value(eventKey{})
	ev, ok := value.(T)
	if ok {
		return ev
	}
	encoded, err := json.Marshal(value)
	if err == nil {
		err = json.Unmarshal(encoded, &ev)
	}
	if err != nil {
		panic(errors.Wrapf(err, "convert event of topic %s", ev.Topic()))
	}
	return ev
}

// Close ends all subscriptions.
func (b *Bus) Close() error {
	return errors.Wrap(b.pubsub.Close(), "close event bus")
}
