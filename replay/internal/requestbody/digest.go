package requestbody

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
)

// Digest returns the SHA-256 digest of an operation's body in hexadecimal.
func Digest(operation string, size int64) string {
	h := sha256.New()
	// Neither the body nor the hash returns an error.
	_, _ = io.Copy(h, New(operation, size))
	return hex.EncodeToString(h.Sum(nil))
}
