package directory

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

const (
	// packed begins a compressed value. No JSON value begins with it.
	packed = 0
	// packFrom is the length from which compression saves bytes.
	packFrom = 256
	// maxValue bounds an unpacked value; the platform takes values up to 1 MB.
	maxValue = 4 << 20
)

// pack compresses a long value for messages. The service objects of a large fleet
// shrink to about a tenth, and each change of one is sent to every member.
func pack(value []byte) []byte {
	if len(value) < packFrom {
		return value
	}
	var b bytes.Buffer
	b.WriteByte(packed)
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

// unpack returns the value that pack was given.
func unpack(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != packed {
		return data, nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maxValue+1))
	if err != nil {
		return nil, fmt.Errorf("directory: unpack value: %w", err)
	}
	if len(value) > maxValue {
		return nil, errors.New("directory: unpack value: longer than the platform allows")
	}
	return value, nil
}
