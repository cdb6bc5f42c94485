package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/replay/internal/caller"
	"bramleystand.org/replay/internal/deployment"
	"bramleystand.org/replay/internal/fleet"
	"bramleystand.org/replay/internal/keyprobe"
	"bramleystand.org/replay/internal/latency"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/trial"
)

// Latency measures the latency that entry VMs add and their memory during a large upload.
type Latency struct {
	Programs string `default:"bin" help:"Directory of the programs entry, platformd and backendd."`
	Keep     bool   `help:"Keep the settings files and logs of the processes."`
	Seconds  int    `default:"10" help:"Length of each measurement in seconds."`
	Upload   int64  `default:"512" help:"Size in MiB of the upload during which memory is measured; 0 skips it."`
}

// zeroCostArgs makes backend servers answer immediately, so that only the time on the path
// to them is measured. Where lookups are also sent directly to the servers, the fleet is
// unfenced as well, because a direct lookup has no grant.
var zeroCostArgs = []string{"--dial-cost", "0s", "--cold", "0s", "--confirmation", "0s", "--lookup", "0s", "--upload", "0s"}

// serverSlots is the number of slots of each backend server, which accepts twice as many connections;
// 64 callers never wait for either.
const serverSlots = 128

// Run prints the added latency for 1 and for 64 callers, and the memory during an upload.
func (l *Latency) Run() (err error) {
	ctx, stop := signalContext()
	defer stop()
	d, err := deployment.Parse("kerala")
	if err != nil {
		return err
	}
	for i := range d.Services {
		d.Services[i].Slots, d.Services[i].Connections = serverSlots, 2*serverSlots
	}
	setup := Setup{Programs: l.Programs, Keep: l.Keep, Centres: 1, Entries: 2, Servers: 4, Unfenced: true}
	options, cleanUp, err := setup.options(d)
	if err != nil {
		return err
	}
	defer func() { cleanUp(err != nil) }()
	options.BackendArgs = zeroCostArgs
	t, err := trial.Open(ctx, options, "latency")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, t.Close()) }()
	defer t.Fleet.Kill()
	if err := l.compareLatency(ctx, t, d.Services[0]); err != nil {
		return err
	}
	if l.Upload > 0 {
		if err := l.measureUpload(ctx, t, d.Services[1]); err != nil {
			return err
		}
	}
	return t.Fleet.Stop(ctx)
}

// compareLatency measures lookups that go directly to the owner of a key and lookups through
// an entry VM.
func (l *Latency) compareLatency(ctx context.Context, t *trial.Trial, s deployment.Service) error {
	owners, err := t.LookupOwners(ctx, s, "latency")
	if err != nil {
		return err
	}
	client := caller.NewClient()
	defer client.CloseIdleConnections()
	keys := keyprobe.Keys(s.Prefix, fleet.Shards)
	direct := func(ctx context.Context, worker int) error {
		key := keys[worker%len(keys)]
		return lookup(ctx, client, "http://"+t.Fleet.Server(owners[key]).Address.String()+"/keys/"+url.PathEscape(key))
	}
	entries := t.Fleet.CallerAddresses()
	viaEntry := func(ctx context.Context, worker int) error {
		key := keys[worker%len(keys)]
		return lookup(ctx, client, "http://"+entries[worker%len(entries)].String()+"/v1/keys/"+s.Name+"/"+url.PathEscape(key))
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "callers\tdirect median\t99%\tthrough entry VM median\t99%\tadded median\t99%\tcalls\t\n")
	for _, workers := range []int{1, 64} {
		c, err := latency.New(direct, viaEntry).Measure(ctx, workers, time.Duration(l.Seconds)*time.Second)
		if err != nil {
			return err
		}
		median, p99 := c.Added()
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t\n", workers, formatMicros(c.Direct.Median), formatMicros(c.Direct.P99),
			formatMicros(c.ViaEntry.Median), formatMicros(c.ViaEntry.P99), formatMicros(median), formatMicros(p99), c.Direct.Calls+c.ViaEntry.Calls)
	}
	return w.Flush()
}

// lookup sends a GET request and reads the whole response, which must have status 200.
func lookup(ctx context.Context, client *http.Client, url string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("%s: status %d: %s", url, response.StatusCode, content)
	}
	return nil
}

func formatMicros(d time.Duration) string {
	return d.Round(time.Microsecond).String()
}

// measureUpload sends one large body and prints the memory of each entry process before the
// upload and its peak during the upload.
func (l *Latency) measureUpload(ctx context.Context, t *trial.Trial, s deployment.Service) error {
	before, err := residentMemory(t)
	if err != nil {
		return err
	}
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	peaks := make(chan []int64, 1)
	go func() { peaks <- peakMemory(watchCtx, t) }()
	begin := time.Now()
	r := t.Caller.Do(ctx, largeUpload(s, l.Upload<<20, begin))
	duration := time.Since(begin)
	stop()
	peak := <-peaks
	last := r.Attempts[len(r.Attempts)-1]
	if r.Class() != operation.Completed || last.AnswerError != "" {
		return eris.Errorf("upload of %d MiB ended as %s with status %d: %s%s", l.Upload, r.Class(), last.Status, last.FailureReason, last.AnswerError)
	}
	fmt.Printf("upload of %d MiB in %s, %d attempts\n", l.Upload, duration.Round(time.Millisecond), len(r.Attempts))
	for i, e := range t.Fleet.Entries {
		fmt.Printf("%s: resident %d MiB before, %d MiB at most during the upload\n", e.Name, before[i]>>20, max(before[i], peak[i])>>20)
	}
	return nil
}
