// Package operators runs concurrent operators against a fleet of separate
// processes while control members are killed, frozen and partitioned, and checks
// the invariants of the control group from outside.
//
// The fleet's control links go through TCP proxies of this package. A cut stops
// the bytes between zones while the processes at both ends keep running. The
// administration API is not cut, because operators may be on either side of a
// partition.
package operators
