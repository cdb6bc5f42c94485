// Package ticket runs final actions at most once. A final action is a request that must not be executed twice,
// such as a confirmation.
//
// A ticket is an idempotency token. A client obtains a Ticket for a key, sends its confirmation with it and may
// resend the confirmation any number of times. The leaseholder of the upstream keeps one Table per lease. The
// table stores an Operation for each redeemed ticket until the ticket expires and answers resends from it.
//
// A ticket without an operation is run only if the table can prove that it was never run. For this the table
// keeps a history of each shard: a list of ticket ranges. A range holds ticket sequence numbers of one lease;
// each ticket of the range either has its operation in the table, was never run, or has expired. The history of
// a shard begins with an open range when the shard is added, and a planned move hands over the earlier ranges
// with their operations. Fences alone are not sufficient: a shard may return to a lease that it has left before,
// and in the meantime tickets with the same fence may have been run elsewhere.
//
// Ticket times are relative to the start of the lease that issued the ticket, on the monotonic clock of its
// leaseholder. A handover carries the age of each lease, so a ticket and its operation expire at the same moment
// on every leaseholder, independent of wall clocks.
//
// # Usage
//
// If another component refuses the request, for example because a queue is full, the refusal must be passed to
// Finish before the client is told that its request was not run. A leaseholder that gets Absent knows nothing
// about the ticket, so Absent alone must not become a final response of not run.
//
//	table := ticket.New("seat-desk", lease.Fence, ticket.Limits{Operations: 200_000, Bytes: 64 << 20}, time.Now())
//	table.Add(s)
//	issued, err := table.Issue(time.Now(), s, key)
//
//	presented, err := ticket.Parse(req.Header.Get("Bramley-Ticket"))
//	if err := presented.Validate("seat-desk", s, key); err != nil {
//		// Respond with status 400.
//	}
//	switch verdict, operation := table.Redeem(time.Now(), presented); verdict {
//	case ticket.Run:
//		// Send the request.
//		table.Finish(operation, result)
//	case ticket.Join:
//		<-operation.Done()
//		result := operation.Result()
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

// formatVersion is the first field of the text form of a ticket.
const formatVersion = "1"

// maxTextLength is the longest text form of a ticket in bytes; a service name has at most 63 characters.
const maxTextLength = 256

// fieldCount is the number of fields in the text form, including the version and the checksum.
const fieldCount = 9

// Ticket permits one execution of one final action on a key. Equal tickets identify the same action.
type Ticket struct {
	Service string
	Shard   shard.Shard
	// KeyHash is the xxHash64 of the key that the ticket is for.
	KeyHash uint64
	Fence   fence.Fence
	// Sequence is the number of the ticket within its lease, in order of issue.
	Sequence uint64
	// Expiry is the time from the start of the lease that issued the ticket to its expiry, in milliseconds.
	Expiry int64
	Random uint64
}

// Parse decodes the text form of a ticket and verifies its checksum.
func Parse(text string) (Ticket, error) {
	if len(text) > maxTextLength {
		return Ticket{}, fmt.Errorf("ticket: text has %d bytes, at most %d are allowed", len(text), maxTextLength)
	}
	parts := strings.Split(text, "~")
	if len(parts) != fieldCount {
		return Ticket{}, fmt.Errorf("ticket: text has %d parts, want %d", len(parts), fieldCount)
	}
	if parts[0] != formatVersion {
		return Ticket{}, fmt.Errorf("ticket: version %q is unknown, want %q", parts[0], formatVersion)
	}
	var values [fieldCount]uint64
	for i, name := range []string{2: "shard", "key", "fence", "sequence", "expiry", "random", "checksum"} {
		if name == "" {
			continue
		}
		v, err := strconv.ParseUint(parts[i], 16, 64)
		if err != nil {
			return Ticket{}, fmt.Errorf("ticket: %s: %w", name, err)
		}
		values[i] = v
	}
	t := Ticket{
		Service: parts[1], Shard: shard.Shard(values[2]), KeyHash: values[3], Fence: fence.Fence(values[4]),
		Sequence: values[5], Expiry: int64(values[6]), Random: values[7],
	}
	if t.String() != text {
		return Ticket{}, fmt.Errorf("ticket: checksum %s does not match the fields", parts[fieldCount-1])
	}
	return t, nil
}

// String returns the text form of the ticket: its fields and a checksum that detects corruption.
func (t Ticket) String() string {
	text := fmt.Sprintf("%s~%s~%x~%x~%x~%x~%x~%x", formatVersion, t.Service, uint32(t.Shard), t.KeyHash, uint64(t.Fence), t.Sequence, uint64(t.Expiry), t.Random)
	return text + "~" + strconv.FormatUint(xxhash.Sum64String(text)>>32, 16)
}

// Validate returns an error unless the ticket was issued for the given service, shard and key.
func (t Ticket) Validate(service string, s shard.Shard, key string) error {
	if t.Service != service {
		return fmt.Errorf("ticket: service is %q, want %q", t.Service, service)
	}
	if t.Shard != s {
		return fmt.Errorf("ticket: shard is %d, want %d", t.Shard, s)
	}
	if t.KeyHash != xxhash.Sum64String(key) {
		return fmt.Errorf("ticket: issued for a key other than %q", key)
	}
	return nil
}
