// Package ticket runs final actions at most once.
//
// A caller gets a Ticket for a key and sends its confirmation with it, as often
// as it likes. The leaseholder of the upstream has one Table for its lease. The
// table keeps an Operation for each spent ticket until the ticket expires and
// answers resends from it.
//
// A ticket without an operation is run only if the table can know that it was
// never run. For this the table has a history for each shard: a list of epochs,
// each a range of ticket numbers of one lease whose operations are all in the
// table or had a ticket that has expired by now. The history of a shard begins
// with an open epoch when the shard is added, and a planned move hands over the
// earlier epochs with their operations. Fences alone cannot express it: a shard
// may come back to a lease that it has left before, and in the meantime tickets
// with the same fence may have been run elsewhere.
//
// Ticket times are counted from the start of the lease that issued the ticket, on
// the monotonic clock of its leaseholder. A handover carries the age of each
// lease, so a ticket and its operation expire in the same moment everywhere and
// no wall clock is involved.
//
// # Usage
//
// A refusal by any other part, for example a full queue, must be passed to Finish
// before the caller is told that its request was not run. A leaseholder that gets
// Absent knows nothing about the ticket, so Absent alone must not become a final
// answer of not run.
//
//	table := ticket.New("seat-desk", lease.Fence, ticket.Limits{Operations: 200_000, Bytes: 64 << 20}, time.Now())
//	table.Add(s)
//	issued, err := table.Issue(time.Now(), s, key)
//
//	spent, err := ticket.Parse(req.Header.Get("Bramley-Ticket"))
//	if err := spent.Check("seat-desk", s, key); err != nil {
//		// Answer 400.
//	}
//	switch verdict, operation := table.Spend(time.Now(), spent); verdict {
//	case ticket.Run:
//		// Send the request.
//		table.Finish(operation, answer)
//	case ticket.Join:
//		<-operation.Done()
//		answer := operation.Answer()
//	}
package ticket

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
)

// version starts the text of a ticket.
const version = "1"

// maxText bounds the text of a ticket; a service name has at most 63 characters.
const maxText = 256

// fields is the number of parts of the text.
const fields = 9

// Ticket is the right to run one final action on a key once. Equal tickets stand for the same action.
type Ticket struct {
	Service string
	Shard   shard.Shard
	// Key is the hash of the key that the ticket is for.
	Key   uint64
	Fence fence.Fence
	// Sequence numbers the tickets of a lease in the order of their issue.
	Sequence uint64
	// Expiry is in milliseconds after the start of the lease that issued the ticket.
	Expiry int64
	Random uint64
}

// Parse reads the text of a ticket.
func Parse(text string) (Ticket, error) {
	if len(text) > maxText {
		return Ticket{}, fmt.Errorf("ticket: text has %d bytes, allowed are %d", len(text), maxText)
	}
	parts := strings.Split(text, "~")
	if len(parts) != fields {
		return Ticket{}, fmt.Errorf("ticket: text has %d parts, want %d", len(parts), fields)
	}
	if parts[0] != version {
		return Ticket{}, fmt.Errorf("ticket: version %q is unknown, want %q", parts[0], version)
	}
	var n [fields]uint64
	for i, name := range []string{2: "shard", "key", "fence", "sequence", "expiry", "random", "checksum"} {
		if name == "" {
			continue
		}
		v, err := strconv.ParseUint(parts[i], 16, 64)
		if err != nil {
			return Ticket{}, fmt.Errorf("ticket: %s: %w", name, err)
		}
		n[i] = v
	}
	t := Ticket{
		Service: parts[1], Shard: shard.Shard(n[2]), Key: n[3], Fence: fence.Fence(n[4]),
		Sequence: n[5], Expiry: int64(n[6]), Random: n[7],
	}
	if t.String() != text {
		return Ticket{}, fmt.Errorf("ticket: checksum %s does not match", parts[fields-1])
	}
	return t, nil
}

// String returns the text of the ticket: its fields and a checksum against damaged copies.
func (t Ticket) String() string {
	text := fmt.Sprintf("%s~%s~%x~%x~%x~%x~%x~%x", version, t.Service, uint32(t.Shard), t.Key, uint64(t.Fence), t.Sequence, uint64(t.Expiry), t.Random)
	return text + "~" + strconv.FormatUint(xxhash.Sum64String(text)>>32, 16)
}

// Check returns an error unless the ticket is for the given service, shard and key.
func (t Ticket) Check(service string, s shard.Shard, key string) error {
	if t.Service != service {
		return fmt.Errorf("ticket: service is %q, want %q", t.Service, service)
	}
	if t.Shard != s {
		return fmt.Errorf("ticket: shard is %d, want %d", t.Shard, s)
	}
	if t.Key != xxhash.Sum64String(key) {
		return fmt.Errorf("ticket: issued for another key than %q", key)
	}
	return nil
}
