package directory

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

const (
	// compressedPrefix is the first byte of a compressed value. No JSON value begins with it.
	compressedPrefix = 0
	// minCompressLength is the length from which compression saves bytes.
	minCompressLength = 256
	// maxValueBytes bounds a decompressed value; the platform accepts values up to 1 MB.
	maxValueBytes = 4 << 20
)

// compress returns a value as it is sent in messages: compressed if that saves bytes.
// Service objects with many upstreams shrink to about a tenth, and each change of one is
// sent to every member.
func compress(value []byte) []byte {
	if len(value) < minCompressLength {
		return value
	}
	var b bytes.Buffer
	b.WriteByte(compressedPrefix)
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return value
	}
	if _, err := w.Write(value); err != nil {
		return value
	}
	if err := w.Close(); err != nil || b.Len() >= len(value) {
		return value
	}
	return b.Bytes()
}

// decompress returns the value from which compress made the data.
func decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != compressedPrefix {
		return data, nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maxValueBytes+1))
	if err != nil {
		return nil, fmt.Errorf("directory: decompress value: %w", err)
	}
	if len(value) > maxValueBytes {
		return nil, errors.New("directory: decompress value: longer than 4 MiB")
	}
	return value, nil
}
