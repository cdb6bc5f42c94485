package settings

import (
	"errors"
	"time"
)

// Duration is a time.Duration that is written as text, such as "1.5s".
type Duration time.Duration

// MarshalText formats the duration as time.Duration does, such as "1.5s".
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.New(`a duration with unit, such as "20s" or "250ms"`)
	}
	*d = Duration(v)
	return nil
}
