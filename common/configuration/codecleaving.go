package configuration

import (
	"encoding/json"
	"fmt"
	"time"

	"bramleystand.org/common/settings"
)

type leavingJSON struct {
	VM     string    `json:"vm"`
	Author string    `json:"author"`
	Since  time.Time `json:"since"`
}

// DecodeLeaving parses and validates the JSON form of a leaving mark.
func DecodeLeaving(data []byte) (Leaving, error) {
	var w leavingJSON
	if err := settings.Decode(data, &w); err != nil {
		return Leaving{}, fmt.Errorf("configuration: leaving mark: %w", err)
	}
	l := Leaving(w)
	if err := l.Validate(); err != nil {
		return Leaving{}, fmt.Errorf("configuration: leaving mark: %w", err)
	}
	return l, nil
}

// EncodeLeaving returns the JSON form of a leaving mark.
func EncodeLeaving(l Leaving) ([]byte, error) {
	return json.Marshal(leavingJSON{VM: l.VM, Author: l.Author, Since: l.Since})
}
