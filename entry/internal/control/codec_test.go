package control_test

import (
	"net/netip"
	"reflect"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/control"
)

// populate sets every field of v to a distinct value other than zero, so that a field that the
// JSON codec leaves out is detected.
func populate(v reflect.Value, next *uint64) {
	*next++
	switch {
	case v.Type() == reflect.TypeFor[netip.AddrPort]():
		v.Set(reflect.ValueOf(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(*next))))
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			populate(v.Field(i), next)
		}
	case v.Kind() == reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		populate(v.Index(0), next)
		populate(v.Index(1), next)
	case v.Kind() == reflect.String:
		v.SetString(string(rune('a' + *next)))
	case v.CanInt():
		v.SetInt(1<<30 + int64(*next))
	default:
		v.SetUint(1<<30 + *next)
	}
}

// Guards against a field of a succession record or routing table that is lost in the JSON stored
// on the platform, because it was added to the struct but not to the codec.
func TestStoredFormKeepsEveryField(t *testing.T) {
	var next uint64
	var s control.Succession
	populate(reflect.ValueOf(&s).Elem(), &next)
	data, err := control.EncodeSuccession(s)
	must.NoError(t, err)
	gotSuccession, err := control.DecodeSuccession(data, s.Version)
	must.NoError(t, err)
	must.True(t, reflect.DeepEqual(s, gotSuccession))

	var table control.Table
	populate(reflect.ValueOf(&table).Elem(), &next)
	data, err = control.EncodeTable(table)
	must.NoError(t, err)
	gotTable, err := control.DecodeTable(data)
	must.NoError(t, err)
	must.True(t, reflect.DeepEqual(table, gotTable))
}
