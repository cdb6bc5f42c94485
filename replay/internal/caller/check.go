package caller

import (
	"encoding/json"
	"fmt"

	"bramleystand.org/replay/internal/execution"
	"bramleystand.org/replay/internal/operation"
)

// responseJSON is the response of a simulated backend server. It describes the request
// that the server ran.
type responseJSON struct {
	Server      string `json:"server"`
	Incarnation int64  `json:"incarnation"`
	Key         string `json:"key"`
	Operation   string `json:"operation"`
	Execution   uint64 `json:"execution"`
	SHA256      string `json:"sha256"`
	Length      int64  `json:"length"`
}

// checkResponse completes an attempt whose response has arrived. It sets AnswerError if
// the response is incomplete or belongs to another request.
func checkResponse(a operation.Attempt, o operation.Operation, content []byte) operation.Attempt {
	var got responseJSON
	if err := json.Unmarshal(content, &got); err != nil {
		a.AnswerError = fmt.Sprintf("answer of %d bytes is not a complete JSON document: %v", len(content), err)
		return a
	}
	a.Server, a.Incarnation, a.Execution = got.Server, got.Incarnation, got.Execution
	switch {
	case got.Key != o.Key:
		a.AnswerError = fmt.Sprintf("answer for key %q", got.Key)
	case !belongsTo(got.Operation, a):
		a.AnswerError = fmt.Sprintf("answer for operation %q", got.Operation)
	case got.Length != o.Size || got.SHA256 != a.Digest:
		a.AnswerError = fmt.Sprintf("answer for a body of %d bytes with SHA-256 %s instead of %d bytes with %s",
			got.Length, got.SHA256, o.Size, a.Digest)
	}
	return a
}

// belongsTo reports whether the label in a response belongs to an attempt. It accepts
// earlier attempts at the same operation too, because the response to a resent ticket
// is the stored one.
func belongsTo(label string, a operation.Attempt) bool {
	if label == "" || label == a.Ticket {
		return true
	}
	name, attempt := execution.ParseLabel(label)
	return name == a.Operation && attempt <= a.Number
}
