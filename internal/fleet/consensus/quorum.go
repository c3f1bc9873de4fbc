package consensus

// QuorumSize returns how many of a fleet's voters are a quorum, a majority. Any two quorums have a voter in common.
func QuorumSize(voters int) int { return voters/2 + 1 }
