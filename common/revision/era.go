package revision

// FirstEra is the era of a store that was never restored. Revisions of a store that has no eras count
// as of this one.
const FirstEra = 1
