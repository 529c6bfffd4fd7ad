package problem

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

// ErrNoMemory is the error of a body for which there is no memory.
var ErrNoMemory = errors.New("the headers and bodies of other requests occupy the memory that is set aside for them")

// noMemoryRetryAfter is the delay advised to the caller of a request without memory.
const noMemoryRetryAfter = 200 * time.Millisecond

// DecodeBody decodes a JSON request body of at most limit bytes into v. It rejects unknown keys and any data
// after the value.
func DecodeBody(w http.ResponseWriter, r *http.Request, limit int64, v any) *Problem {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	if err == nil {
		err = expectEOF(decoder)
	}
	if err == nil {
		return nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &Problem{
			Status: http.StatusRequestEntityTooLarge, Code: TooLarge, RunState: NotRun,
			Message: errors.Errorf("the body has more than %d bytes", limit).Error(),
		}
	}
	if errors.Is(err, ErrNoMemory) {
		p := &Problem{Status: http.StatusServiceUnavailable, Code: Overloaded, RunState: NotRun, Message: err.Error()}
		return p.WithRetryAfter(noMemoryRetryAfter)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &Problem{
			Status: http.StatusRequestTimeout, Code: BodyLate, RunState: NotRun, Message: "the body did not arrive in time",
		}
	}
	return &Problem{Status: http.StatusBadRequest, Code: BadRequest, RunState: NotRun, Message: "body: " + err.Error()}
}

// expectEOF returns an error if anything other than white space follows the decoded value.
func expectEOF(decoder *json.Decoder) error {
	_, err := decoder.Token()
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err == nil:
		return errors.New("more than one JSON value")
	}
	return err
}
