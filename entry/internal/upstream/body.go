package upstream

import (
	"errors"
	"io"
	"time"

	"bramleystand.org/entry/internal/suspect"
)

// body passes the answer of the server on and returns the slot at its end.
type body struct {
	run   *run
	inner io.ReadCloser
	over  bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if err != nil {
		b.ended(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close gives up what was not read.
func (b *body) Close() error {
	b.ended(false)
	return b.inner.Close()
}

func (b *body) ended(whole bool) {
	if b.over {
		return
	}
	b.over = true
	b.run.unsure = !whole
	if whole && b.run.alone {
		b.run.upstream.suspects.Success(time.Now(), suspect.Fingerprint(b.run.request.Fingerprint))
	}
	b.run.finish(true)
}
