// Package adminapi serves the administration API: HTTP and JSON under /v1.
// docs/API.md describes it and docs/openapi.yaml lists every path.
//
// A change is proposed to the control group's log and answered once it is
// committed. The problem document of a failed change has "ran": "no" only when
// the change is not committed and never will be. Otherwise it has "ran":
// "unknown", and the client can safely resend the same request with the same
// Idempotency-Key.
//
// Reads are linearizable: the member confirms that it is the leader first. With
// ?stale=true any member answers from its own copy of the state.
package adminapi
