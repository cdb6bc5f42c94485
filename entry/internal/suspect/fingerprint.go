package suspect

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BodyPrefix is how much of the body counts for a fingerprint.
const BodyPrefix = 64 << 10

// Fingerprint identifies a request and its resends.
type Fingerprint uint64

// Of returns the fingerprint of a request; of the body only the first BodyPrefix bytes count.
func Of(service, key, method, query string, body []byte) Fingerprint {
	h := xxhash.New()
	var length [8]byte
	for _, s := range []string{service, key, method, query} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
		_, _ = h.Write(length[:])
		_, _ = h.WriteString(s)
	}
	_, _ = h.Write(body[:min(len(body), BodyPrefix)])
	return Fingerprint(h.Sum64())
}
