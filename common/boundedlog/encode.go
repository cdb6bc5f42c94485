package boundedlog

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"
)

// longestText bounds a text in a field in bytes; identifiers and errors may hold what others sent.
const longestText = 400

// encode returns a line with its end, in the form of apex/log's own JSON handler. It does not
// use reflection for the usual kinds of values, because a line is written for each request.
func encode(level log.Level, at time.Time, message string, base, fields log.Fields) ([]byte, error) {
	out := make([]byte, 0, 512)
	out = append(out, `{"fields":{`...)
	first := true
	for _, f := range []log.Fields{base, fields} {
		for _, name := range slices.Sorted(maps.Keys(f)) {
			if !first {
				out = append(out, ',')
			}
			first = false
			out = append(appendText(out, name), ':')
			var err error
			if out, err = appendValue(out, f[name]); err != nil {
				return nil, fmt.Errorf("boundedlog: field %q of %q: %w", name, message, err)
			}
		}
	}
	out = append(out, `},"level":"`...)
	out = append(out, level.String()...)
	out = append(out, `","timestamp":"`...)
	out = at.AppendFormat(out, time.RFC3339Nano)
	out = append(out, `","message":`...)
	out = appendText(out, message)
	return append(out, '}', '\n'), nil
}

// appendValue appends the JSON of a value.
func appendValue(out []byte, v any) ([]byte, error) {
	switch v := v.(type) {
	case string:
		return appendText(out, clip(v)), nil
	case error:
		return appendText(out, clip(v.Error())), nil
	case int:
		return strconv.AppendInt(out, int64(v), 10), nil
	case int64:
		return strconv.AppendInt(out, v, 10), nil
	case uint64:
		return strconv.AppendUint(out, v, 10), nil
	case bool:
		return strconv.AppendBool(out, v), nil
	}
	data, err := json.Marshal(v)
	return append(out, data...), err
}

// clip shortens a long text.
func clip(s string) string {
	if len(s) <= longestText {
		return s
	}
	return s[:longestText] + "..."
}

// appendText appends a JSON string.
func appendText(out []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' {
			// A string can always be encoded.
			data, _ := json.Marshal(s)
			return append(out, data...)
		}
	}
	out = append(out, '"')
	out = append(out, s...)
	return append(out, '"')
}
