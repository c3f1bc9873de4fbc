package consensus

// QuorumSize is how many of a fleet's voters are a quorum: any two quorums have a voter in common.
func QuorumSize(voters int) int { return voters/2 + 1 }
