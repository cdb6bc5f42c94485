package boundedlistener_test

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/boundedlistener"
)

// Guards against silent connections that keep peers out, and against a peer that is closed for others.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	l := boundedlistener.New(inner, 2, 10*time.Second)
	defer l.Close()
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func(text string) (client, server net.Conn) {
		client, err := net.Dial("tcp", inner.Addr().String())
		must.NoError(t, err)
		t.Cleanup(func() { _ = client.Close() })
		must.NoError(t, client.SetDeadline(time.Now().Add(10*time.Second)))
		_, err = client.Write([]byte(text))
		must.NoError(t, err)
		if text == "" {
			return client, <-accepted
		}
		server = <-accepted
		_, err = server.Read(make([]byte, 8))
		must.NoError(t, err)
		return client, server
	}
	dial("peer")
	silent, silentServer := dial("")
	go func() { _, _ = silentServer.Read(make([]byte, 1)); _ = silentServer.Close() }()
	_, second := dial("peer")
	_, err = silent.Read(make([]byte, 1))
	must.Error(t, err)
	// Both are peers now, so a third connection is closed.
	third, err := net.Dial("tcp", inner.Addr().String())
	must.NoError(t, err)
	defer third.Close()
	must.NoError(t, third.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = third.Read(make([]byte, 1))
	must.Error(t, err)
	must.NoError(t, second.Close())
	dial("peer")
	must.Eq(t, 2, l.Counts()["open"])
}
