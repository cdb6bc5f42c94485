package command_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/bramleyctl/internal/command"
	"bramleystand.org/bramleyctl/internal/objectstore"
	"bramleystand.org/common/platform"
)

const serviceFile = `{"name":"seat-desk","shards":16,"homes":[{"centre":"tvm","first":0,"last":15}],"upstreams":[
	{"name":"seat-a","centre":"tvm","address":"10.0.0.1:80","slots":4,"connections":110,"fenced":true}]}`

// fakePlatform keeps objects in memory. The function race, if set, runs once during the next read,
// after the object was read, to make a change in the name of another operator. With unavailable set,
// reads fail; with uncertain set, writes fail with an unknown outcome.
type fakePlatform struct {
	stored      map[string]platform.Object
	race        func()
	unavailable bool
	uncertain   bool
}

func (f *fakePlatform) Get(_ context.Context, name string) (platform.Object, error) {
	if f.unavailable {
		return platform.Object{}, &platform.UnavailableError{Err: errors.New("refused")}
	}
	o, ok := f.stored[name]
	if f.race != nil {
		race := f.race
		f.race = nil
		race()
	}
	if !ok || o.Deleted {
		return platform.Object{}, &platform.NotFoundError{Name: name, Version: o.Version, Author: o.Author}
	}
	return o, nil
}

func (f *fakePlatform) List(_ context.Context, prefix string) ([]platform.Object, int64, error) {
	var matching []platform.Object
	for name, o := range f.stored {
		if strings.HasPrefix(name, prefix) {
			matching = append(matching, o)
		}
	}
	return matching, 0, nil
}

func (f *fakePlatform) Put(_ context.Context, u platform.Update) (int64, error) {
	return f.update(u, false)
}

func (f *fakePlatform) Delete(_ context.Context, u platform.Update) (int64, error) {
	return f.update(u, true)
}

func (f *fakePlatform) update(u platform.Update, deleted bool) (int64, error) {
	current := f.stored[u.Name]
	if f.uncertain || current.Version != u.IfVersion {
		return 0, &platform.ConflictError{Name: u.Name, Version: current.Version, Author: current.Author, Uncertain: f.uncertain}
	}
	f.stored[u.Name] = platform.Object{
		Name: u.Name, Version: u.IfVersion + 1, Author: u.Author, Change: u.Change, Value: u.Value, Deleted: deleted,
	}
	return u.IfVersion + 1, nil
}

// runCommand runs bramleyctl with the arguments against the fake platform and returns its exit
// code and output.
func runCommand(f *fakePlatform, line ...string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	args := append([]string{"--platform=127.0.0.1:7100", "--author=mika"}, line...)
	code = command.Run(args, &out, &errOut, func(netip.AddrPort) objectstore.ObjectClient { return f })
	return code, out.String(), errOut.String()
}

// writeFile writes a temporary file and returns its name.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "file.json")
	must.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

// Guards against commands that write something other than they report, and against exit codes that
// mislead scripts. The commands run in order on one platform, each on the result of those before it.
func TestCommands(t *testing.T) {
	f := &fakePlatform{stored: map[string]platform.Object{}}
	service := writeFile(t, serviceFile)
	for _, c := range []struct {
		line string
		code int
		want string
	}{
		{"service apply " + service, command.ExitDone, "services/seat-desk: applied, version 1 by mika"},
		{"service apply " + service, command.ExitDone, "services/seat-desk: already in force, version 1 by mika"},
		{"service apply --version=1 " + writeFile(t, strings.Replace(serviceFile, "110", "120", 1)), command.ExitDone, "services/seat-desk: applied, version 2 by mika"},
		{"service apply --version=1 " + service, command.ExitLostRace, `made from version 1: platform: "services/seat-desk" is at version 2 by "mika"`},
		{"service apply " + writeFile(t, strings.NewReplacer("16", "32", "15", "31").Replace(serviceFile)), command.ExitInvalid, "shards: 32 is not allowed, allowed: 16"},
		{"service apply " + writeFile(t, `{"name":1}`), command.ExitInvalid, "name: 1 is not allowed, allowed: a string"},
		{"service list", command.ExitDone, "seat-desk  16      1          tvm      2        mika"},
		{"service show seat-desk", command.ExitDone, `"address": "10.0.0.1:80"`},
		{"service show seat", command.ExitInvalid, "services/seat does not exist"},
		{"upstream add seat-desk seat-b --centre=klm --address=10.0.0.2:80 --slots=4 --connections=100", command.ExitDone, "added seat-b, version 3"},
		{"upstream add seat-desk seat-b --centre=klm --address=10.0.0.3:80 --slots=4 --connections=100", command.ExitInvalid, "upstreams[2].name"},
		{"upstream list seat-desk", command.ExitDone, "seat-b    klm     10.0.0.2:80  4      100          false"},
		{"--json upstream list seat-desk", command.ExitDone, `"address": "10.0.0.2:80"`},
		{"upstream remove seat-desk seat-c", command.ExitInvalid, `has no upstream "seat-c"`},
		{"upstream remove seat-desk seat-a", command.ExitInvalid, `homes[0].centre: "tvm" is not allowed, allowed: a data centre that has an upstream`},
		{"upstream remove seat-desk seat-b", command.ExitDone, "removed seat-b, version 4"},
		{"preset list", command.ExitDone, "ordinary     yes, default, not written yet"},
		{"preset switch peak", command.ExitDone, "preset: switched to peak, version 1 by mika"},
		{"preset switch peak", command.ExitDone, "preset: already in force, version 1 by mika"},
		{"preset switch festival", command.ExitInvalid, `active: "festival" is not allowed, allowed: the name of a preset`},
		{"preset show", command.ExitDone, "in force: peak, version 1 by mika"},
		{"leave tvm-1", command.ExitDone, "leaving/tvm-1: marked as leaving, version 1"},
		{"leave TVM", command.ExitInvalid, `vm: "TVM" is not allowed`},
		{"leaving", command.ExitDone, "tvm-1  20"},
		{"unleave tvm-1", command.ExitDone, "no longer leaving, version 2"},
		{"unleave tvm-1", command.ExitInvalid, "leaving/tvm-1 does not exist"},
		{"service delete seat-desk", command.ExitDone, "deleted, version 5"},
		{"service delete seat-desk", command.ExitInvalid, "does not exist"},
		{"check --kind=service " + service, command.ExitDone, "valid"},
		{"check " + service, command.ExitInvalid, "upstreams: an unknown field"},
		{"status", command.ExitInvalid, "--entry is missing"},
		{"rebalance", command.ExitInvalid, "unexpected argument rebalance"},
	} {
		code, stdout, stderr := runCommand(f, strings.Fields(c.line)...)
		must.Eq(t, c.code, code, must.Sprint(c.line, stderr))
		must.StrContains(t, stdout+stderr, c.want, must.Sprint(c.line))
	}
	f.uncertain = true
	code, stdout, stderr := runCommand(f, "preset", "switch", "ordinary")
	must.Eq(t, command.ExitUnknown, code)
	must.Eq(t, "", stdout)
	must.StrContains(t, stderr, "outcome unknown")
	f.unavailable = true
	code, _, _ = runCommand(f, "preset", "switch", "ordinary")
	must.Eq(t, command.ExitUnavailable, code)
}

// Guards against reporting a change as made when another operator changed the object between the
// read and the write.
func TestLostRace(t *testing.T) {
	f := &fakePlatform{stored: map[string]platform.Object{}}
	f.race = func() { f.stored["leaving/tvm-1"] = platform.Object{Name: "leaving/tvm-1", Version: 3, Author: "rin"} }
	code, stdout, stderr := runCommand(f, "leave", "tvm-1")
	must.Eq(t, command.ExitLostRace, code)
	must.Eq(t, "", stdout)
	must.StrContains(t, stderr, `platform: "leaving/tvm-1" is at version 3 by "rin"`)
}

// dumpServer starts an admin server that serves the dump and returns its address.
func dumpServer(t *testing.T, text string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/dump" {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write([]byte(text))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

const firstDump = `{"member":{"name":"tvm-1","centre":"tvm"},"preset":"peak","versions":{"preset":7,"services/seat-desk":2},
	"members":[{"name":"tvm-1","incarnation":1000000000,"centre":"tvm","address":"127.0.0.1:1"},{"name":"tvm-2","centre":"tvm","address":"127.0.0.1:2","silent":true}],
	"tables":[{"service":"seat-desk","centre":"tvm","term":3,"sequence":9,"placements":[
		{"upstream":"seat-a","leaseholder":{"name":"tvm-2"},"fence":"3.4","revision":5,"shards":[0,1,2,3,4,5,7,8,9,10,11,12,13,14,15]}]}],
	"controllers":{"seat-desk@tvm":{"Role":"member","Term":3,"Promised":{"Name":"tvm-2"},"PromisedTerm":3,"Succession":{"Members":[{"Name":"tvm-2"},{"Name":"tvm-1"}]}}}}`

const secondDump = `{"member":{"name":"tvm-2","centre":"tvm"},"preset":"ordinary","versions":{"preset":5},"members":[],
	"tables":[{"service":"seat-desk","centre":"tvm","term":2,"sequence":99,"placements":[{"upstream":"old","shards":[6]}]}],
	"controllers":{"seat-desk@tvm":{"Role":"controller","Term":3,"Moving":1}}}`

// Guards against showing an outdated owner of a key, and against hiding which process is behind a
// version or does not answer.
func TestStatusOwnerAndDump(t *testing.T) {
	f := &fakePlatform{stored: map[string]platform.Object{"services/seat-desk": {Name: "services/seat-desk", Version: 2, Value: []byte(serviceFile)}}}
	first, second := dumpServer(t, firstDump), dumpServer(t, secondDump)
	entry := "--entry=" + first + "," + second
	code, stdout, stderr := runCommand(f, entry, "status")
	must.Eq(t, command.ExitDone, code, must.Sprint(stderr))
	for _, want := range []string{
		"tvm-1   tvm     127.0.0.1:1  1970-01-01T00:00:01Z  live",
		"tvm-2   tvm     127.0.0.1:2  1970-01-01T00:00:00Z  silent",
		"seat-desk@tvm  tvm-2       3     1",
		"preset              7        1 of 2       tvm-2 (5)",
	} {
		must.StrContains(t, stdout, want)
	}
	for key, want := range map[string]string{
		"k1": "seat-a  tvm-2        3.4    5         table 3.9 of seat-desk@tvm at tvm-1",
		"k2": "being moved: no upstream holds the shard in table 3.9 of seat-desk@tvm at tvm-1",
	} {
		_, stdout, _ = runCommand(f, entry, "owner", "seat-desk", key)
		must.StrContains(t, stdout, want, must.Sprint(key))
	}
	code, stdout, _ = runCommand(f, "dump", second)
	must.Eq(t, command.ExitDone, code)
	must.StrContains(t, stdout, `"preset": "ordinary"`)
	code, _, stderr = runCommand(f, "--entry="+first+",127.0.0.1:1", "status")
	must.Eq(t, command.ExitError, code)
	must.StrContains(t, stderr, "127.0.0.1:1")
}
