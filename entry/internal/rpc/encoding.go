package rpc

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// Encoding implements drpc.Encoding with CBOR, which needs no generated code.
type Encoding struct{}

// Marshal implements drpc.Encoding.
func (Encoding) Marshal(m drpc.Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("rpc: encode %T: %w", m, err)
	}
	return b, nil
}

// Unmarshal implements drpc.Encoding.
func (Encoding) Unmarshal(b []byte, m drpc.Message) error {
	if err := cbor.Unmarshal(b, m); err != nil {
		return fmt.Errorf("rpc: decode %T: %w", m, err)
	}
	return nil
}
