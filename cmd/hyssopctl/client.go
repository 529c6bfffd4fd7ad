package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/problem"
)

// callTimeout is the timeout of one call to an instance. It exceeds the maximum deadline of a plan.
const callTimeout = 25 * time.Second

// call sends a request to an instance and decodes the response into out, which may be nil. It returns an
// error response as a *problem.Problem.
func call(method, address, path string, header http.Header, in, out any) error {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequest(method, "http://"+address+path, body)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	if header != nil {
		req.Header = header
	}
	client := http.Client{Timeout: callTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return unavailable(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return unavailable(err)
	}
	if resp.StatusCode != http.StatusOK {
		if p := problem.Read(raw, resp.StatusCode); p != nil {
			return p
		}
		return errors.Errorf("%s %s: status %d", method, path, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(raw, out), "decode response")
}

// unavailable returns the problem for a call that failed without a response. The request may have run.
func unavailable(err error) error {
	return &problem.Problem{Code: problem.NotReady, Message: err.Error(), RunState: problem.MayHaveRun}
}
