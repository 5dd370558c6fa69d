// Command drill plays the scripted cases of the second review. It starts members and balancers as
// separate processes on loopback addresses, with the settings of the deploy file's templates, and
// meets them with stand-ins for targets, clients, routers and the operator that follow the users'
// PROTOCOL page and the pages of the newcomers and the shifted deployment. It judges only what these
// stand-ins see.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main
