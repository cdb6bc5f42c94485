package upstream

import (
	"errors"
	"io"
	"time"

	"bramleystand.org/entry/internal/suspect"
)

// responseBody streams the response of the server and finishes the request at its end.
type responseBody struct {
	activeRequest *activeRequest
	source        io.ReadCloser
	ended         bool
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err != nil {
		b.end(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close discards the unread rest of the body.
func (b *responseBody) Close() error {
	b.end(false)
	return b.source.Close()
}

// end finishes the request once. complete tells whether the whole body was read; otherwise the server may still be
// running the request.
func (b *responseBody) end(complete bool) {
	if b.ended {
		return
	}
	b.ended = true
	b.activeRequest.mayStillRun = !complete
	if complete && b.activeRequest.exclusive {
		b.activeRequest.upstream.suspects.ReportSuccess(time.Now(), suspect.Fingerprint(b.activeRequest.request.Fingerprint))
	}
	b.activeRequest.finish(true)
}
