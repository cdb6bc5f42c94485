package suspect

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BodyPrefixBytes is the number of bytes at the start of the body that are part of a fingerprint.
const BodyPrefixBytes = 64 << 10

// Fingerprint is a hash by which a request that is sent again is recognized as the same.
type Fingerprint uint64

// Of returns the fingerprint of a request. Only the first BodyPrefixBytes bytes of the body are hashed, and the
// length of every other part is, so that the same bytes divided differently give another fingerprint.
func Of(service, key, method, query string, body []byte) Fingerprint {
	h := xxhash.New()
	var length [8]byte
	for _, s := range []string{service, key, method, query} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
		_, _ = h.Write(length[:])
		_, _ = h.WriteString(s)
	}
	_, _ = h.Write(body[:min(len(body), BodyPrefixBytes)])
	return Fingerprint(h.Sum64())
}
