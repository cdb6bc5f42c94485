package settings

import (
	"encoding"
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxQuotedBytes is the maximum length of a value that an error quotes.
const maxQuotedBytes = 80

// allowedByType describes the allowed values of types whose own parse errors do not.
var allowedByType = map[reflect.Type]string{
	reflect.TypeFor[netip.AddrPort](): `an IP address with port, such as "127.0.0.1:8080"`,
	reflect.TypeFor[time.Time]():      `a time such as "2026-03-01T08:00:00Z"`,
}

// decoder reads a JSON document into the struct type of its target and collects every rejected value.
type decoder struct {
	json         *json.Decoder
	structFields map[reflect.Type]structFields
	problems     []error
}

// structFields describes the JSON fields of a struct type.
type structFields struct {
	// index holds the position of each field by its JSON name.
	index map[string]int
	// required are the names of the fields without omitempty.
	required []string
}

func (d *decoder) reject(path, value, allowed string) {
	d.problems = append(d.problems, NewError(path, value, allowed))
}

// decodeValue reads the next value into v. It returns an error only if the JSON is malformed.
func (d *decoder) decodeValue(path string, v reflect.Value) error {
	t, err := d.json.Token()
	if err != nil {
		return err
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return d.decodeText(path, t, v.Type(), u)
	}
	switch v.Kind() {
	case reflect.Struct:
		if t == json.Delim('{') {
			return d.decodeObject(path, v)
		}
		d.reject(path, formatToken(t), "an object")
	case reflect.Slice:
		if t == json.Delim('[') {
			return d.decodeList(path, v)
		}
		d.reject(path, formatToken(t), "a list")
	case reflect.String:
		if s, ok := t.(string); ok {
			v.SetString(s)
			return nil
		}
		d.reject(path, formatToken(t), "a string")
	case reflect.Bool:
		if b, ok := t.(bool); ok {
			v.SetBool(b)
			return nil
		}
		d.reject(path, formatToken(t), "true or false")
	default:
		d.decodeNumber(path, t, v)
	}
	return d.skipValue(t)
}

// decodeText reads a string into a type that implements encoding.TextUnmarshaler.
func (d *decoder) decodeText(path string, t json.Token, typ reflect.Type, u encoding.TextUnmarshaler) error {
	s, ok := t.(string)
	if ok {
		err := u.UnmarshalText([]byte(s))
		if err == nil {
			return nil
		}
		allowed, known := allowedByType[typ]
		if !known {
			allowed = err.Error()
		}
		d.reject(path, formatToken(t), allowed)
		return nil
	}
	allowed, known := allowedByType[typ]
	if !known {
		allowed = "a string"
	}
	d.reject(path, formatToken(t), allowed)
	return d.skipValue(t)
}

// decodeNumber reads a number and rejects it if it does not fit the type of v.
func (d *decoder) decodeNumber(path string, t json.Token, v reflect.Value) {
	n, ok := t.(json.Number)
	bits := v.Type().Bits()
	if v.CanFloat() {
		f, err := strconv.ParseFloat(string(n), bits)
		if !ok || err != nil {
			d.reject(path, formatToken(t), "a number")
			return
		}
		v.SetFloat(f)
		return
	}
	if v.CanUint() {
		u, err := strconv.ParseUint(string(n), 10, bits)
		if !ok || err != nil {
			d.reject(path, formatToken(t), fmt.Sprintf("a whole number from 0 to %d", ^uint64(0)>>(64-bits)))
			return
		}
		v.SetUint(u)
		return
	}
	i, err := strconv.ParseInt(string(n), 10, bits)
	if !ok || err != nil {
		limit := int64(^uint64(0) >> (65 - bits))
		d.reject(path, formatToken(t), fmt.Sprintf("a whole number from %d to %d", -limit-1, limit))
		return
	}
	v.SetInt(i)
}

// decodeObject reads the fields of an object whose opening brace has been read.
func (d *decoder) decodeObject(path string, v reflect.Value) error {
	f := d.fieldsOf(v.Type())
	seen := map[string]bool{}
	for d.json.More() {
		t, err := d.json.Token()
		if err != nil {
			return err
		}
		name := t.(string)
		fieldPath := joinPath(path, name)
		if seen[name] {
			d.reject(fieldPath, "a second value", "each field once")
		}
		i, known := f.index[name]
		if !known {
			d.reject(fieldPath, "an unknown field", strings.Join(sortedNames(f.index), ", "))
		}
		if !known || seen[name] {
			if err := d.skipNextValue(); err != nil {
				return err
			}
			continue
		}
		seen[name] = true
		if err := d.decodeValue(fieldPath, v.Field(i)); err != nil {
			return err
		}
	}
	for _, name := range f.required {
		if !seen[name] {
			d.reject(joinPath(path, name), "a missing field", "a value")
		}
	}
	_, err := d.json.Token()
	return err
}

// decodeList reads the elements of a list whose opening bracket has been read.
func (d *decoder) decodeList(path string, v reflect.Value) error {
	for i := 0; d.json.More(); i++ {
		element := reflect.New(v.Type().Elem()).Elem()
		if err := d.decodeValue(fmt.Sprintf("%s[%d]", path, i), element); err != nil {
			return err
		}
		v.Set(reflect.Append(v, element))
	}
	_, err := d.json.Token()
	return err
}

// skipValue reads the rest of a value whose first token was t.
func (d *decoder) skipValue(t json.Token) error {
	depth := 0
	for {
		switch t {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
		var err error
		if t, err = d.json.Token(); err != nil {
			return err
		}
	}
}

// skipNextValue reads the next value and discards it.
func (d *decoder) skipNextValue() error {
	t, err := d.json.Token()
	if err != nil {
		return err
	}
	return d.skipValue(t)
}

// fieldsOf returns the JSON fields of a struct type. It caches them for the document, because
// lists hold many values of one type.
func (d *decoder) fieldsOf(t reflect.Type) structFields {
	if f, ok := d.structFields[t]; ok {
		return f
	}
	f := structFields{index: map[string]int{}}
	for i := range t.NumField() {
		name, option, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		f.index[name] = i
		if option != "omitempty" {
			f.required = append(f.required, name)
		}
	}
	d.structFields[t] = f
	return f
}

func sortedNames(index map[string]int) []string {
	sorted := make([]string, 0, len(index))
	for name := range index {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	return sorted
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// formatToken formats a token for an error message.
func formatToken(t json.Token) string {
	s := fmt.Sprint(t)
	switch v := t.(type) {
	case nil:
		s = "null"
	case string:
		s = strconv.Quote(v)
	case json.Delim:
		s = "an object"
		if v == '[' {
			s = "a list"
		}
	}
	if len(s) > maxQuotedBytes {
		s = strings.ToValidUTF8(s[:maxQuotedBytes], "") + "..."
	}
	return s
}
