package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/backendd/internal/gate"
	"bramleystand.org/common/fence"
	"bramleystand.org/common/outcome"
	"bramleystand.org/common/shard"
)

// grantJSON is the body of a grant request and of its response.
type grantJSON struct {
	Incarnation int64         `json:"incarnation"`
	Fence       fence.Fence   `json:"fence"`
	Revision    uint32        `json:"revision"`
	Shards      []shard.Shard `json:"shards"`
	Until       int64         `json:"until"`
}

// maxGrantSize is the maximum body size of a grant in bytes: 64 K shards of up to 6
// bytes each fit.
const maxGrantSize = 512 << 10

var errUnfenced = eris.New("server: not fenced")

// handleGrant accepts or refuses a grant.
func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	s.grants.Add(1)
	var n grantJSON
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxGrantSize)).Decode(&n)
	if err != nil {
		err = fmt.Errorf("server: grant: %w", err)
	}
	if err == nil && !s.config.Fenced {
		err = errUnfenced
	}
	if err == nil {
		err = s.gate.Accept(gate.Grant{
			Incarnation: n.Incarnation,
			Fence:       n.Fence,
			Revision:    n.Revision,
			Shards:      n.Shards,
			Until:       time.Duration(n.Until),
		}, s.clock.Now())
	}
	if err != nil {
		w.Header().Set(outcome.Header, outcome.NotRun.String())
		s.writeResponse(w, statusOf(err), refusalJSON{Server: s.config.Name, Refused: reasonOf(err)})
		return
	}
	s.writeResponse(w, http.StatusOK, s.currentGrant())
}

// currentGrant returns the current grant.
func (s *Server) currentGrant() grantJSON {
	n := s.gate.Current()
	return grantJSON{
		Incarnation: n.Incarnation,
		Fence:       n.Fence,
		Revision:    n.Revision,
		Shards:      n.Shards,
		Until:       int64(n.Until),
	}
}
