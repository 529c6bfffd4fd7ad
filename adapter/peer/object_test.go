package peer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/adapter/wire/memberpb"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/query/routing"
)

// Guards against a value that changes in transit, and against a small compressed message that exhausts the memory of
// its receiver.
func TestObjectRoundTrip(t *testing.T) {
	o := config.Object{Key: config.Key{Kind: "targets", Name: "ledger"}, Revision: 7, Data: []byte(`[{"id":"a"}]`)}
	decoded, err := ObjectFromWire(ObjectToWire(o))
	require.NoError(t, err)
	require.Equal(t, o, decoded)

	o.Data = bytes.Repeat([]byte("a"), maxObjectBytes+1)
	_, err = ObjectFromWire(ObjectToWire(o))
	require.ErrorContains(t, err, "exceeds")
	_, err = ObjectFromWire(&memberpb.Object{Data: []byte("no gzip")})
	require.Error(t, err)
}

// Guards against a configuration that the store holds and no instance takes from another one, because the product's own encoding
// of it is larger than a value of the store (review/6).
func TestLargestConfigurationOfTheStoreReachesOtherInstances(t *testing.T) {
	const storedRouteBytes = 185 // of a route in the store's encoding
	var table routing.Table
	for n := range platform.MaxValueBytes / storedRouteBytes {
		name := fmt.Sprint("route-", n)
		table.Routes = append(table.Routes, routing.Route{
			Name: name, Host: "shop.example", Prefix: "/" + name + "/", Timeout: time.Second, Objective: time.Second, MaxAttempts: 2, Repeatable: true,
			Split: []routing.WeightedService{{Service: "s", Weight: 1}},
		})
	}
	data, err := json.Marshal(&table)
	require.NoError(t, err)
	require.Greater(t, len(data), platform.MaxValueBytes)
	o := config.Object{Key: config.Key{Kind: "routes", Name: "current"}, Revision: 1, Data: data}
	decoded, err := ObjectFromWire(ObjectToWire(o))
	require.NoError(t, err)
	require.Equal(t, o, decoded)
	require.Less(t, len(ObjectToWire(o).Data), maxMessageBytes)
}
