package body

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
)

// Digest returns the SHA-256 of the body of an operation, in hexadecimal.
func Digest(operation string, size int64) string {
	h := sha256.New()
	// Neither the body nor the hash returns errors.
	_, _ = io.Copy(h, New(operation, size))
	return hex.EncodeToString(h.Sum(nil))
}
