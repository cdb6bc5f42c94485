package peer

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/rpc"
)

// populate sets every field of v to a value other than zero.
func populate(v reflect.Value, seed *int64) {
	*seed++
	switch v.Kind() {
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[netip.AddrPort]() {
			v.Set(reflect.ValueOf(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(*seed))))
			return
		}
		if v.Type() == reflect.TypeFor[time.Time]() {
			v.Set(reflect.ValueOf(time.Now().Add(time.Duration(*seed) * time.Hour)))
			return
		}
		for i := range v.NumField() {
			populate(v.Field(i), seed)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		populate(v.Elem(), seed)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		populate(v.Index(0), seed)
		populate(v.Index(1), seed)
	case reflect.String:
		v.SetString(string(rune('a' + *seed%26)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*seed%3 + 1))
	case reflect.Float64:
		v.SetFloat(float64(*seed))
	default:
		v.SetInt(*seed)
	}
}

// roundTrip encodes and decodes a value in which every field is set.
func roundTrip[T, W any](t *testing.T, encode func(T) *W, decode func(*W) T) (sent, got T) {
	t.Helper()
	var seed int64
	populate(reflect.ValueOf(&sent).Elem(), &seed)
	data, err := rpc.Encoding{}.Marshal(encode(sent))
	must.NoError(t, err)
	var wire W
	must.NoError(t, rpc.Encoding{}.Unmarshal(data, &wire))
	return sent, decode(&wire)
}

// Guards against a field that is lost on the wire because it was added to a control message but
// not to its codec.
func TestCodecsCarryEveryField(t *testing.T) {
	sentRenewRequest, gotRenewRequest := roundTrip(t, encodeRenewRequest, decodeRenewRequest)
	must.Eq(t, sentRenewRequest, gotRenewRequest)
	sentRenewResponse, gotRenewResponse := roundTrip(t, encodeRenewResponse, decodeRenewResponse)
	must.Eq(t, sentRenewResponse, gotRenewResponse)
	sentSupportRequest, gotSupportRequest := roundTrip(t, encodeSupportRequest, decodeSupportRequest)
	must.Eq(t, sentSupportRequest, gotSupportRequest)
	sentSupportResponse, gotSupportResponse := roundTrip(t, encodeSupportResponse, decodeSupportResponse)
	must.Eq(t, sentSupportResponse, gotSupportResponse)
	sentResignRequest, gotResignRequest := roundTrip(t, encodeResignRequest, decodeResignRequest)
	must.Eq(t, sentResignRequest, gotResignRequest)
	sentSync, gotSync := roundTrip(t, encodeSync, decodeSync)
	roundTimes(&sentSync, &gotSync)
	must.Eq(t, sentSync, gotSync)
}

// roundTimes rounds times to the hour. Messages carry them relative to the clocks of sender and
// receiver, so they differ by the time between encoding and decoding.
func roundTimes(sent, got *control.Sync) {
	for _, s := range []*control.Sync{sent, got} {
		for i := range s.Members {
			s.Members[i].SilentSince = s.Members[i].SilentSince.Round(time.Hour)
		}
		for i := range s.Suspects {
			s.Suspects[i].Expires = s.Suspects[i].Expires.Round(time.Hour)
		}
	}
}
