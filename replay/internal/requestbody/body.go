// Package requestbody generates a different request body for each operation, so that the
// digest in a response shows whether the response belongs to another request.
//
// # Usage
//
//	r := requestbody.New("run-17", 48<<10)
//	digest := requestbody.Digest("run-17", 48<<10)
package requestbody

import (
	"io"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Body reads a pseudo-random request body, which depends only on its operation and
// size.
type Body struct {
	random    *rand.ChaCha8
	remaining int64
}

// New returns the body of an operation, with size bytes.
func New(operation string, size int64) *Body {
	var seed [32]byte
	copy(seed[:], operation)
	for i, v := 0, xxhash.Sum64String(operation); i < 8; i++ {
		seed[24+i] ^= byte(v >> (8 * i))
	}
	return &Body{random: rand.NewChaCha8(seed), remaining: size}
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.random.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, err
}
