package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// encoding implements drpc.Encoding with CBOR, so that no generated code is needed.
type encoding struct{}

func (encoding) Marshal(m drpc.Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("peer: encode %T: %w", m, err)
	}
	return b, nil
}

func (encoding) Unmarshal(b []byte, m drpc.Message) error {
	if err := cbor.Unmarshal(b, m); err != nil {
		return fmt.Errorf("peer: decode %T: %w", m, err)
	}
	return nil
}
