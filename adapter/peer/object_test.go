package peer

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/adapter/wire/memberpb"
	"hyssopcroft.example/control/config"
)

// Guards against a value that changes in transit, and against a small compressed message that exhausts the memory of
// its receiver.
func TestObjectRoundTrip(t *testing.T) {
	o := config.Object{Key: config.Key{Kind: "targets", Name: "ledger"}, Revision: 7, Data: []byte(`[{"id":"a"}]`)}
	decoded, err := ObjectFromWire(ObjectToWire(o))
	require.NoError(t, err)
	require.Equal(t, o, decoded)

	o.Data = bytes.Repeat([]byte("a"), platform.MaxValueBytes+1)
	_, err = ObjectFromWire(ObjectToWire(o))
	require.ErrorContains(t, err, "exceeds")
	_, err = ObjectFromWire(&memberpb.Object{Data: []byte("no gzip")})
	require.Error(t, err)
}
