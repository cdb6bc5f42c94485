package gate

// Refusal is the reason why a grant or a request is not accepted.
type Refusal string

// The reasons for a refusal.
const (
	Expired         Refusal = "expired"
	UntilTooFar     Refusal = "until-too-far"
	Incarnation     Refusal = "other-incarnation"
	Outdated        Refusal = "outdated"
	ShardsChanged   Refusal = "shards-changed-without-revision"
	NoGrant         Refusal = "no-grant"
	OtherFence      Refusal = "other-fence"
	ShardNotGranted Refusal = "shard-not-granted"
)

// Error returns the reason.
func (r Refusal) Error() string {
	return "gate: refused: " + string(r)
}
