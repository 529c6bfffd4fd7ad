package peer

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/adapter/wire/memberpb"
	"hyssopcroft.example/control/config"
)

// maxObjectBytes is the maximum size of an object's value between instances. It is a multiple of the store's limit: an instance
// encodes what it has read from the store in the product's own form, whose field names may be longer.
const maxObjectBytes = 8 * platform.MaxValueBytes

// ObjectToWire converts an object of the platform. It compresses the value, most of which is the repeated field names
// of a JSON list.
func ObjectToWire(o config.Object) *memberpb.Object {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, err := w.Write(o.Data)
	if closeErr := w.Close(); err != nil || closeErr != nil {
		panic("compress object: write to bytes.Buffer failed") // Writes to a bytes.Buffer return no error.
	}
	return &memberpb.Object{Kind: o.Kind, Name: o.Name, Revision: o.Revision, Data: compressed.Bytes()}
}

// ObjectFromWire converts an object of the platform. It fails if the value is not valid gzip or is
// larger than maxObjectBytes.
func ObjectFromWire(o *memberpb.Object) (config.Object, error) {
	r, err := gzip.NewReader(bytes.NewReader(o.GetData()))
	if err != nil {
		return config.Object{}, errors.Wrap(err, "decompress object")
	}
	data, err := io.ReadAll(io.LimitReader(r, maxObjectBytes+1))
	if err != nil {
		return config.Object{}, errors.Wrap(err, "decompress object")
	}
	if len(data) > maxObjectBytes {
		return config.Object{}, errors.Errorf("object %s/%s exceeds %d bytes", o.GetKind(), o.GetName(), maxObjectBytes)
	}
	key := config.Key{Kind: o.GetKind(), Name: o.GetName()}
	return config.Object{Key: key, Revision: o.GetRevision(), Data: data}, nil
}
