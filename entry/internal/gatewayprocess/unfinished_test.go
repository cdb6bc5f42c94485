package gatewayprocess_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// startResettingServer starts a server that answers each upload with a part of a response without a length, and resets
// the connection while the upload is still being written.
func startResettingServer(t *testing.T, id string) *fakeBackend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBramleystand-Attempt-Id: %s\r\nBramleystand-Response-Signature: %s\r\n\r\npart", r.Header.Get("Bramleystand-Attempt-Id"), id)
				_, _ = io.CopyN(io.Discard, reader, 1<<20)
				_ = c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return &fakeBackend{id: id, born: 1, plain: true, address: netip.MustParseAddrPort(l.Addr().String())}
}

// Guards against a client that gets a part of a response as complete, against a refusal of a request that may have run,
// and against an idempotent request that is not sent to another server.
func TestResetDuringUpload(t *testing.T) {
	t.Parallel()
	s := newFakeStore(t)
	configuration := strings.NewReplacer(`"sharded":true`, `"sharded":false`, `"maxBodyBytes":1000000`, `"maxBodyBytes":16000000`, `"timeoutMs":2000`, `"timeoutMs":9000`)
	s.put("config", "main", configuration.Replace(fmt.Sprintf(configurationFormat, 1)))
	resetting := startResettingServer(t, "resetting")
	s.put("servers", "resetting", resetting.registryEntry("ready"))
	p := startProcess(t, s, "first")
	eventually(t, evacuationTime*3, "the process is ready", p.isReady)
	upload := func(path, id string) (int, string) {
		r, err := http.NewRequest(http.MethodPost, "http://"+p.settings.ClientAddress.String()+path, bytes.NewReader(make([]byte, 12_000_000)))
		must.NoError(t, err)
		r.Host = "h.example"
		r.Header.Set("Bramleystand-Attempt-Id", id)
		r.Header.Set("Bramleystand-Deadline-Ms", "9000")
		response, err := http.DefaultClient.Do(r)
		must.NoError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		return response.StatusCode, string(body)
	}
	for i := range 5 {
		status, body := upload("/final/x", fmt.Sprint("final-", i))
		must.Eq(t, http.StatusBadGateway, status)
		must.NotEq(t, "part", body)
	}
	sound := newFakeBackend(t, "sound")
	sound.plain = true
	s.put("servers", "sound", sound.registryEntry("ready"))
	eventually(t, evacuationTime*3, "the other server is used", func() bool {
		status, body := upload("/get/x", fmt.Sprintf("get-%p", new(int)))
		must.NotEq(t, "part", body)
		return status == http.StatusOK
	})
}
