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

// ObjectToWire converts an object of the platform. Its value is compressed, because the names of
// the fields of a JSON list make up most of it.
func ObjectToWire(o config.Object) *memberpb.Object {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, err := w.Write(o.Data)
	if closeErr := w.Close(); err != nil || closeErr != nil {
		panic("a write to memory failed") // A bytes.Buffer returns no errors.
	}
	return &memberpb.Object{Kind: o.Kind, Name: o.Name, Revision: o.Revision, Data: compressed.Bytes()}
}

// ObjectFromWire converts an object of the platform. It fails if the value is not valid gzip or
// larger than the platform allows.
func ObjectFromWire(o *memberpb.Object) (config.Object, error) {
	r, err := gzip.NewReader(bytes.NewReader(o.GetData()))
	if err != nil {
		return config.Object{}, errors.Wrap(err, "decompress object")
	}
	data, err := io.ReadAll(io.LimitReader(r, platform.MaxValueBytes+1))
	if err != nil {
		return config.Object{}, errors.Wrap(err, "decompress object")
	}
	if len(data) > platform.MaxValueBytes {
		return config.Object{}, errors.Errorf("object %s/%s exceeds %d bytes", o.GetKind(), o.GetName(), platform.MaxValueBytes)
	}
	key := config.Key{Kind: o.GetKind(), Name: o.GetName()}
	return config.Object{Key: key, Revision: o.GetRevision(), Data: data}, nil
}
