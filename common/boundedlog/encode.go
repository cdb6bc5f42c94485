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

// maxTextBytes is the maximum length of a string in a field, because identifiers and errors may
// contain text that others sent.
const maxTextBytes = 400

// encodeLine returns a line that ends with a newline, in the format of apex/log's own JSON
// handler. It uses no reflection for the common types of values, because a line is written for
// each request.
func encodeLine(level log.Level, timestamp time.Time, message string, baseFields, fields log.Fields) ([]byte, error) {
	out := make([]byte, 0, 512)
	out = append(out, `{"fields":{`...)
	first := true
	for _, f := range []log.Fields{baseFields, fields} {
		for _, name := range slices.Sorted(maps.Keys(f)) {
			if !first {
				out = append(out, ',')
			}
			first = false
			out = append(appendString(out, name), ':')
			var err error
			if out, err = appendValue(out, f[name]); err != nil {
				return nil, fmt.Errorf("boundedlog: encode field %q of message %q: %w", name, message, err)
			}
		}
	}
	out = append(out, `},"level":"`...)
	out = append(out, level.String()...)
	out = append(out, `","timestamp":"`...)
	out = timestamp.AppendFormat(out, time.RFC3339Nano)
	out = append(out, `","message":`...)
	out = appendString(out, message)
	return append(out, '}', '\n'), nil
}

// appendValue appends the JSON of a value.
func appendValue(out []byte, v any) ([]byte, error) {
	switch v := v.(type) {
	case string:
		return appendString(out, truncate(v)), nil
	case error:
		return appendString(out, truncate(v.Error())), nil
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

// truncate shortens a long text and marks it with "...".
func truncate(s string) string {
	if len(s) <= maxTextBytes {
		return s
	}
	return s[:maxTextBytes] + "..."
}

// appendString appends a JSON string.
func appendString(out []byte, s string) []byte {
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
