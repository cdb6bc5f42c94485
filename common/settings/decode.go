// Package settings parses JSON documents that are written by hand: settings files of the
// programs and configuration objects.
//
// The parser is stricter than encoding/json. Unknown, repeated and missing
// fields, fields in other letter case, null, trailing data and values of a wrong
// type are errors, and each error names the field, the value and what is allowed.
// All errors of a document are reported at once. The parser checks each value by
// itself; constraints between values are checked by the packages that define them.
//
// # Usage
//
//	type settingsJSON struct {
//		Name  string            `json:"name"`
//		Stop  settings.Duration `json:"stop"`
//		Seeds []netip.AddrPort  `json:"seeds,omitempty"` // may be left out
//	}
//	var w settingsJSON
//	if err := settings.Decode(data, &w); err != nil {
//		return fmt.Errorf("read settings: %w", err)
//	}
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"unicode/utf8"
)

// Decode parses one JSON object into the struct that target points to.
func Decode(data []byte, target any) error {
	if !utf8.Valid(data) {
		return errors.New("settings: the document is not valid UTF-8")
	}
	d := decoder{json: json.NewDecoder(bytes.NewReader(data)), structFields: map[reflect.Type]structFields{}}
	d.json.UseNumber()
	if err := d.decodeValue("", reflect.ValueOf(target).Elem()); err != nil {
		return fmt.Errorf("settings: invalid JSON near byte %d: %w", d.json.InputOffset(), err)
	}
	if _, err := d.json.Token(); !errors.Is(err, io.EOF) {
		d.reject("", "trailing data", "nothing after the object")
	}
	return errors.Join(d.problems...)
}
