package command_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/bramleyctl/internal/command"
)

const whereAnswer = `{"process":"edge-1","centre":"x","configuration":7,"route":"get","rank":1,"repeatable":true,"objective":500,"left":900,"services":[
{"service":"orders","weight":90,"sharded":false,"servers":4,"answer":"placed by edge-2 on a server in x","obstacles":{"i-9":"held off"},"evacuated":["y"],
"pools":[{"centre":"z","index":0,"allocator":"edge-3","servers":2,"wait":40,"took":180,"selected":false},{"centre":"x","index":0,"allocator":"edge-2","servers":2,"wait":0,"took":150,"age":12,"selected":true,
"best":[{"server":"i-1","expected":150,"left":20,"running":1,"waiting":0,"speed":1.2,"slowdown":1}]}]},
{"service":"keyed","weight":10,"sharded":true,"servers":9,"answer":"owner of the key","owner":{"server":"i-7","centre":"x","cold":true},"table":"0.12"}]}`

// Guards against an explanation that leaves out why a server is chosen or ruled out, or whose knowledge that is.
func TestWhere(t *testing.T) {
	var asked string
	status, answer := http.StatusOK, whereAnswer
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.URL.RequestURI()
		w.WriteHeader(status)
		_, _ = w.Write([]byte(answer))
	}))
	defer s.Close()
	run := func(args ...string) (int, string, string) {
		var stdout, stderr bytes.Buffer
		code := command.Run(append([]string{"--entry", s.Listener.Addr().String(), "where", "h.example", "/a/b"}, args...), &stdout, &stderr, nil)
		return code, stdout.String(), stderr.String()
	}
	code, out, _ := run("--key", "9", "--left", "900ms")
	must.Eq(t, command.ExitDone, code)
	must.Eq(t, "/where?host=h.example&key=9&left=900ms&path=%2Fa%2Fb", asked)
	for _, want := range []string{
		"route get of configuration 7, rank 1, 500 ms to the objective, 900 ms left; known by edge-1 in x", "placed by edge-2 on a server in x", "not to i-9: held off", "evacuated: y",
		"x/0   true      edge-2     2        0        150       12", "z/0   false     edge-3     2        40       180       not asked", "i-1     150          20", "i-7    x       true  0.12",
	} {
		must.StrContains(t, out, want)
	}
	code, out, _ = run("--json")
	must.Eq(t, command.ExitDone, code)
	must.Eq(t, whereAnswer+"\n", out)
	code, _, _ = run("--key", "70000")
	must.Eq(t, command.ExitInvalid, code)
	status, answer = http.StatusNotFound, "no route of configuration 7"
	code, _, stderr := run()
	must.Eq(t, command.ExitInvalid, code)
	must.StrContains(t, stderr, "no route of configuration 7")
	s.Close()
	code, _, _ = run()
	must.Eq(t, command.ExitError, code)
}
