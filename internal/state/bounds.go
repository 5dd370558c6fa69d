package state

import "time"

// Maximum numbers of entries. The package comment describes what happens when a
// table reaches its bound.
const (
	MaximumTemplates         = 1024
	MaximumTemplateVersions  = 64
	MaximumTemplateRules     = 64
	MaximumParameters        = 64
	MaximumTenants           = 10_000
	MaximumServices          = 8_192
	MaximumTargets           = 65_536
	MaximumTargetsPerService = 1_024
	MaximumAnswers           = 65_536
	MaximumClaims            = 262_144
	MaximumDeltas            = 2_048
)

// Maximum sizes, in bytes.
const (
	MaximumNameBytes           = 63
	MaximumTextBytes           = 1_024
	MaximumIdempotencyKeyBytes = 128
	MaximumClaimKeyBytes       = 256
	MaximumOutcomeBytes        = 16 << 10
	MaximumOutcomeTotalBytes   = 64 << 20
)

// Quotas of a tenant whose specification sets none.
const (
	DefaultTenantServices = 64
	DefaultTenantTargets  = 2_048
	DefaultTenantClaims   = 65_536
)

// Durations, all measured by the log time.
const (
	// AnswerRetention is how long the answer to a command is stored, so that a
	// resent copy of the command gets the same answer.
	AnswerRetention = 24 * time.Hour
	// ClaimWindow is how long a claimed request cannot run again.
	ClaimWindow = 24 * time.Hour
	// ReleaseRetention is how long the row of a released claim is kept to refuse
	// delayed copies of the claim request that was released.
	ReleaseRetention = 10 * time.Minute
	// ClaimGrant is how long after its first claim request an agent may start to
	// run the granted request.
	ClaimGrant = 5 * time.Second
)
