// Package state implements the replicated state machine of the control group:
// templates, tenants, services, targets, bucket tables, request claims, and the
// answers that are stored for resent commands. Machine implements
// replica.StateMachine.
//
// Machine.Apply is deterministic: the result and the new state depend only on
// the previous state, the log index, the log time and the command. It uses no
// local clock, random numbers or map iteration order, so members that applied
// the same log have equal digests. All expiry is decided by the log time.
//
// Readers of a View or of deltas never wait for Apply: each change publishes a new
// immutable View (copy on write). Claims and stored answers are not part of the
// view; they are accessed under the machine's lock.
//
// # Revisions
//
// A revision is the log index of the command that made the change, plus an
// offset that is zero unless the state was restored from a backup. The offset
// keeps revisions increasing across a restore, so that nodes which still run
// the configuration of the lost group accept the restored one.
//
// # Bounds and retention
//
//	table              bound                               an entry is removed when
//	templates          MaximumTemplates                    deleted by an operator; refused while in use
//	template versions  MaximumTemplateVersions             a new version exceeds the bound; the oldest unused one first
//	tenants            MaximumTenants                      deleted by an operator; refused while it has services
//	services           MaximumServices, quota              deleted by an operator and no target is left, or at once when forced
//	targets            MaximumTargets, quota               no longer in its service's parameters and in no bucket, or its service was deleted by force
//	buckets            fixed when the service is created   the service is removed
//	stored answers     MaximumAnswers                      AnswerRetention after the first answer; the oldest first when full
//	claims             MaximumClaims, quota                ClaimWindow after the claim, never earlier; a full table refuses new claims
//	released claims    counted as claims                   ReleaseRetention after the release, or claimed again
//	claim outcomes     MaximumOutcomeBytes each            the claim is removed; a larger body is not stored, only the status
//	                   MaximumOutcomeTotalBytes            as above, when the bodies together exceed it
//	delta log          MaximumDeltas, maximumDeltaRows     full, oldest first; not part of a snapshot
//
// A service has model.BucketsPerTarget buckets for each target that it is created
// with, and at least routing.MinimumBuckets.
//
// Removing a stored answer early is safe: a resent command carries its base
// revision, so it is refused instead of applied twice.
package state
