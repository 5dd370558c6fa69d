// Package settings defines, loads and checks the settings of every process.
// All roles share one YAML file format; each role reads its own section.
package settings

import "time"

// Settings is the content of one process's settings file.
type Settings struct {
	// Node is the unique name of the process.
	Node string `koanf:"node" validate:"required,max=64"`
	// Zone is the failure zone of the process.
	Zone string `koanf:"zone" validate:"required,max=64"`
	// Region is the region that the zone belongs to.
	Region string `koanf:"region" validate:"max=64"`
	// DataFolder is the folder with durable state, generated keys and ring files (log dumps).
	DataFolder string `koanf:"data_folder" validate:"required"`
	// Listen is the address for connections of other processes (TCP). Without keys, members and
	// balancers of direct services also receive load reports on its port (UDP).
	Listen string `koanf:"listen" validate:"omitempty,hostport"`
	// Status is the HTTP address that serves health, readiness and metrics.
	Status string `koanf:"status" validate:"omitempty,hostport"`
	// Keys is the folder with this process's certificate, its private key and the certificate
	// of the authority. Empty means unencrypted links, for tests on loopback only.
	Keys string `koanf:"keys"`

	Log      Log      `koanf:"log"`
	Control  Control  `koanf:"control"`
	Relay    Relay    `koanf:"relay"`
	Balancer Balancer `koanf:"balancer"`
	Agent    Agent    `koanf:"agent"`
	Fabric   Fabric   `koanf:"fabric"`
	Backend  Backend  `koanf:"backend"`
	Caller   Caller   `koanf:"caller"`
	Platform Platform `koanf:"platform"`
	Direct   Direct   `koanf:"direct"`
}

// Direct is the section of the roles that serve direct services: members of their
// control group, and balancers in front of targets without an agent.
type Direct struct {
	// Seeds are the control addresses of the members that are contacted first.
	Seeds []string `koanf:"seeds" validate:"dive,hostport"`
	// MemberPort, if not zero, replaces the ports of the seeds.
	MemberPort int `koanf:"member_port" validate:"min=0,max=65535"`
	// Bootstrap means that the seeds form a new group with empty disks.
	Bootstrap bool `koanf:"bootstrap"`
	// API is the address on which a member serves targets and operators.
	API string `koanf:"api" validate:"omitempty,hostport"`
	// Admin is the address on which a member serves the product's own administration commands
	// (merlinctl direct); empty disables it. It requires no token, so it must be reachable from
	// the operators' network only.
	Admin string `koanf:"admin" validate:"omitempty,hostport"`
	// Packets is the UDP address on which a balancer receives callers' packets.
	Packets string `koanf:"packets" validate:"omitempty,hostport"`
	// LinkMegabits is the rate of a balancer's link in Mbit/s in each direction. Zero means no
	// limit.
	LinkMegabits float64 `koanf:"link_megabits" validate:"min=0,max=1000000"`
	// LinkShare is the share of its link's rate that a balancer sends at. With less than the
	// whole rate, packets wait in the balancer's own queue, where short requests go first, and
	// not in front of the link.
	LinkShare float64 `koanf:"link_share" validate:"gt=0,max=1"`
	// LinkOverhead is the number of bytes that each datagram takes on the link in addition to
	// its payload: 28 for the IP and UDP headers, and 38 for Ethernet's preamble, header, check
	// sequence and interpacket gap (IEEE 802.3). If it is too small, calls of many small
	// datagrams overrun the link behind the balancer's own queue.
	LinkOverhead int `koanf:"link_overhead" validate:"min=28,max=512"`
	// LinkAdmission is the share of a route's latency objective within which the link has to
	// transmit the long request (such as an upload) of a new flow, after the requests that are
	// already open. A flow that would take longer is refused, so that its caller's next attempt
	// reaches another balancer. Zero admits all flows.
	LinkAdmission float64 `koanf:"link_admission" validate:"min=0,max=10"`
	// Followers is the largest number of balancers that a member sends the feed to; further
	// balancers follow other balancers.
	Followers int `koanf:"followers" validate:"min=1,max=10000"`
	// PeerFollowers is the largest number of balancers that a balancer sends the feed to. With
	// zero, or without a listen address, it sends the feed to none.
	PeerFollowers int `koanf:"peer_followers" validate:"min=0,max=10000"`
	// LocalZoneWeight is the factor on the weight of targets in the balancer's own zone when a
	// new flow is placed, as long as they have room; 1 means no preference. Flows that stay in
	// their zone are not lost when the zone is cut off.
	LocalZoneWeight float64 `koanf:"near_weight" validate:"min=1,max=10000"`
	// SpilloverCandidates is the number of targets in remote zones among which the least busy
	// one gets a new flow when the targets of the local zone have no idle slot. Zero disables
	// spillover.
	SpilloverCandidates int `koanf:"spill_candidates" validate:"min=0,max=8"`
	// LoadCandidates is the number of targets among which the least busy one gets a new flow; 1
	// chooses by hash alone.
	LoadCandidates int `koanf:"load_candidates" validate:"min=1,max=8"`
	// LoadAdmission is the share of a route's latency objective that the first request of a
	// new flow may be expected to take. While a service is congested, a flow that would take
	// longer is refused. Zero admits all flows.
	LoadAdmission float64 `koanf:"load_admission" validate:"min=0,max=10"`
	// MaxOccupancy is the number of requests per slot that a target may hold before new flows
	// on routes of the most urgent priority are refused; lower priorities have lower limits.
	// Targets queue a few requests and reject the others regardless of their priority, so the
	// value should be the largest number per slot that they hold. Zero means no limit.
	MaxOccupancy float64 `koanf:"load_crowd" validate:"min=0,max=1000"`
	// LoadInterval is the shortest time between two reports of open requests, which balancers
	// send to each other or, in a large system, to members and back. Zero disables the reports.
	LoadInterval time.Duration `koanf:"load_interval" validate:"min=0,max=1000000000"`
	// Zones are the zones of the system with their regions. A balancer needs them for routes
	// that only targets of some regions may serve.
	Zones []Zone `koanf:"zones" validate:"dive"`
	// Renewals is the address on which a balancer accepts renewals of targets that members
	// redirect to it; empty accepts none.
	Renewals string `koanf:"renewals" validate:"omitempty,hostport"`
	// RenewalsPerSecond is the rate of renewals above which a member redirects targets to
	// balancers. Zero never redirects.
	RenewalsPerSecond int `koanf:"renewals_per_second" validate:"min=0,max=1000000"`
	// ToleratedLosses is the number of members that may be lost at once; the group keeps twice
	// as many voters plus one, and at least three.
	ToleratedLosses int `koanf:"tolerated_losses" validate:"min=0,max=4"`
	// ToleratedZones is the number of zones whose members may all be lost at once. Every value
	// above zero means one zone: the group then keeps at least five voters, spread over the
	// zones.
	ToleratedZones int `koanf:"tolerated_zones" validate:"min=0,max=4"`
	// ElectionTimeout is the shortest time without a leader after which an election starts.
	ElectionTimeout time.Duration `koanf:"election_timeout" validate:"min=50000000"`
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval time.Duration `koanf:"heartbeat_interval" validate:"min=10000000"`
	// SnapshotEvery is the number of log entries between snapshots.
	SnapshotEvery int `koanf:"snapshot_every" validate:"min=1"`
	// SilentAfter is the time without a renewal after which a target is probed.
	SilentAfter time.Duration `koanf:"silent_after" validate:"min=500000000"`
	// RenewalInterval is the time between two renewals of a target.
	RenewalInterval time.Duration `koanf:"renewal_interval" validate:"min=10000000"`
	// FlowLife is the longest lifetime of a flow; the token of a failed target is kept slightly
	// longer.
	FlowLife time.Duration `koanf:"flow_life" validate:"min=1000000000"`
	// AnswerWithin is the longest time in which a member answers a call.
	AnswerWithin time.Duration `koanf:"answer_within" validate:"min=10000000"`
	// StopGrace is how long a balancer keeps forwarding after a planned stop has begun, so that
	// the routers can learn that it leaves.
	StopGrace time.Duration `koanf:"stop_grace" validate:"min=0,max=300000000000"`
}

// Zone is a zone of the system and its region.
type Zone struct {
	// Name is the zone's name, as targets state it.
	Name string `koanf:"name" validate:"required"`
	// Region is the name of the region that the zone lies in, as routes state it.
	Region string `koanf:"region" validate:"required"`
}

// Log is the section of structured logging.
type Log struct {
	// Output enables log lines on standard output, in addition to the ring.
	Output bool `koanf:"output"`
	// Level is the lowest level that is written to standard output.
	Level string `koanf:"level" validate:"oneof=debug info warn error"`
	// LinesPerSecond is the largest number of lines of one kind (logger and message) per second
	// on standard output.
	LinesPerSecond int `koanf:"lines_per_second" validate:"min=1,max=100000"`
	// QueueLines is the largest number of lines that wait for standard output.
	QueueLines int `koanf:"queue_lines" validate:"min=1,max=1000000"`
	// RingLines is the number of latest lines that are kept in memory and written to a ring
	// file after a failure.
	RingLines int `koanf:"ring_lines" validate:"min=1,max=1000000"`
}

// Peer is the name and control address of another process.
type Peer struct {
	// Name is the other process's unique name.
	Name string `koanf:"name" validate:"required,max=64"`
	// Address is its control address.
	Address string `koanf:"address" validate:"required,hostport"`
	// Zone is the other process's failure zone.
	Zone string `koanf:"zone" validate:"max=64"`
}

// Control is the section of the control role.
type Control struct {
	// Members are the initial members of the group, including this one.
	Members []Peer `koanf:"members" validate:"dive"`
	// Join means that this member joins a running group as a learner.
	Join bool `koanf:"join"`
	// API is the address of the administration API (HTTPS).
	API string `koanf:"api" validate:"omitempty,hostport"`
	// Tokens is the file with bearer tokens, roles and tenants.
	Tokens string `koanf:"tokens"`
	// ElectionTimeout is the shortest time without a leader after which an election starts.
	ElectionTimeout time.Duration `koanf:"election_timeout" validate:"min=100000000"`
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval time.Duration `koanf:"heartbeat_interval" validate:"min=10000000"`
	// SnapshotEvery is the number of log entries between snapshots.
	SnapshotEvery int `koanf:"snapshot_every" validate:"min=1"`
	// DeadAfter is the time without a heartbeat of its agent after which a target counts as
	// dead. It is longer while the agent may be changing relays.
	DeadAfter time.Duration `koanf:"dead_after" validate:"min=1000000000"`
	// Platform is the URL of the platform's machine list, which lags and serves as a hint only.
	Platform string `koanf:"platform" validate:"omitempty,url"`
}

// Relay is the section of the relay role.
type Relay struct {
	// Control lists the control members, or relays through which they are reached.
	Control []Peer `koanf:"control" validate:"dive"`
	// ReportInterval is the time between two aggregated reports to the control group.
	ReportInterval time.Duration `koanf:"report_interval" validate:"min=50000000"`
}

// Balancer is the section of the balancer role.
type Balancer struct {
	// Relays lists relays in order of preference.
	Relays []Peer `koanf:"relays" validate:"dive"`
	// Packets is the UDP address for Geneve packets.
	Packets string `koanf:"packets" validate:"omitempty,hostport"`
	// CacheFlows is the largest number of cached flows.
	CacheFlows int `koanf:"cache_flows" validate:"min=1,max=50000000"`
	// Workers is the number of goroutines that receive packets.
	Workers int `koanf:"workers" validate:"min=1,max=256"`
	// StopGrace is how long a balancer keeps forwarding after a planned stop has begun, so that
	// the fabric can learn that it leaves.
	StopGrace time.Duration `koanf:"stop_grace" validate:"min=0,max=300000000000"`
	// OpeningsPerSource is the largest number of TCP SYN and QUIC Initial packets per second
	// from one source address; zero means no limit.
	OpeningsPerSource float64 `koanf:"openings_per_source" validate:"min=0,max=1000000000"`
	// HeartbeatInterval is the time between heartbeats to the relay.
	HeartbeatInterval time.Duration `koanf:"heartbeat_interval" validate:"min=50000000"`
}

// Agent is the section of the agent role.
type Agent struct {
	// Relays lists relays in order of preference.
	Relays []Peer `koanf:"relays" validate:"dive"`
	// Packets is the UDP address for Geneve packets.
	Packets string `koanf:"packets" validate:"omitempty,hostport"`
	// Fabric is the Geneve address of the fabric, which carries answers to callers.
	Fabric string `koanf:"fabric" validate:"omitempty,hostport"`
	// Backend is the address of the back end, which speaks HTTP/1.1 over TCP, or UDP.
	Backend string `koanf:"backend" validate:"omitempty,hostport"`
	// Certificate is the tenant's TLS certificate file; if it is empty, a self-signed pair is
	// made in the data folder.
	Certificate string `koanf:"certificate"`
	// Key is the file with the certificate's private key.
	Key string `koanf:"key"`
	// ColdStart is the duration of the slow start, in which the usable slots grow to their full
	// number; zero means none.
	ColdStart time.Duration `koanf:"cold_start"`
	// HeartbeatInterval is the time between heartbeats to the relay.
	HeartbeatInterval time.Duration `koanf:"heartbeat_interval" validate:"min=50000000"`
	// StopGrace is the longest time that a planned stop waits for open feeds, uploads and other
	// requests.
	StopGrace time.Duration `koanf:"stop_grace" validate:"min=0"`
	// HealthPath is the path of the back end's health report; empty disables health requests.
	HealthPath string `koanf:"health_path" validate:"omitempty,startswith=/"`
	// HealthInterval is the time between two requests for the health report.
	HealthInterval time.Duration `koanf:"health_interval" validate:"min=50000000"`
}

// Fabric is the section of the stand-in fabric.
type Fabric struct {
	// Addresses are the virtual addresses (IP and port) that the fabric owns.
	Addresses []string `koanf:"addresses" validate:"dive,hostport"`
	// Geneve is the UDP address for encapsulated packets.
	Geneve string `koanf:"geneve" validate:"omitempty,hostport"`
	// Platform is the URL of the machine list with the live balancers.
	Platform string `koanf:"platform" validate:"omitempty,url"`
	// PollInterval is the time between two reads of the machine list.
	PollInterval time.Duration `koanf:"poll_interval" validate:"min=10000000"`
	// Balancers is a fixed list of balancers, for use without a platform.
	Balancers []Peer `koanf:"balancers" validate:"dive"`
	// Control is the HTTP address at which loss, reordering and zone partitions are switched on
	// and off; empty disables it.
	Control string `koanf:"control" validate:"omitempty,hostport"`
	// Latencies are the one-way delays between zones.
	Latencies []Latency `koanf:"latencies" validate:"dive"`
	// Seed seeds the random spread of packets over the balancers and the random packet loss.
	Seed uint64 `koanf:"seed"`
}

// Latency is the one-way delay between two zones; the zone "caller" is that of the callers.
type Latency struct {
	// From is the sender's zone.
	From string `koanf:"from" validate:"required"`
	// To is the receiver's zone.
	To string `koanf:"to" validate:"required"`
	// Delay is the one-way delay.
	Delay time.Duration `koanf:"delay"`
}

// Backend is the section of the stand-in back end.
type Backend struct {
	// Listen is the HTTP/1.1 address.
	Listen string `koanf:"listen" validate:"omitempty,hostport"`
	// Ledger is the file to which the back end appends a line when it starts a request and
	// another one when the request ends.
	Ledger string `koanf:"ledger"`
	// Slots is the number of requests that the back end runs at once; further requests are
	// shed.
	Slots int `koanf:"slots" validate:"min=0"`
	// ServiceTime is the mean time that a call takes.
	ServiceTime time.Duration `koanf:"service_time"`
	// Protocol is "http", or "udp" for an echo of plain datagrams.
	Protocol string `koanf:"protocol" validate:"omitempty,oneof=http udp"`
	// FeedInterval is the time between two updates of a feed.
	FeedInterval time.Duration `koanf:"feed_interval" validate:"min=1000000"`
	// ColdStart is how long after its start the back end is slower than usual.
	ColdStart time.Duration `koanf:"cold_start"`
	// Misbehavior names the faults that the back end shows on purpose: late, crossed, short,
	// doubled, shed, health_frozen, load_frozen, wrong.
	Misbehavior []string `koanf:"misbehavior" validate:"dive,oneof=late crossed short doubled shed health_frozen load_frozen wrong"`
}

// Caller is the section of the stand-in caller.
type Caller struct {
	// Address is the virtual address of the service.
	Address string `koanf:"address" validate:"omitempty,hostport"`
	// Source is the local IP address to send from.
	Source string `koanf:"source"`
	// Duration is how long the caller starts new requests.
	Duration time.Duration `koanf:"duration"`
	// CallsPerSecond is the rate at which calls are started.
	CallsPerSecond float64 `koanf:"calls_per_second"`
	// UploadsPerSecond is the rate at which uploads are started.
	UploadsPerSecond float64 `koanf:"uploads_per_second"`
	// Feeds is the number of feeds that are held open.
	Feeds int `koanf:"feeds"`
	// AtMostOnceFraction is the fraction of calls that must run at most once.
	AtMostOnceFraction float64 `koanf:"at_most_once_fraction" validate:"min=0,max=1"`
	// Connections is the number of connections that calls and uploads share.
	Connections int `koanf:"connections" validate:"min=1"`
	// ConnectionLifetime is the mean time after which the caller replaces a connection; zero
	// keeps connections.
	ConnectionLifetime time.Duration `koanf:"connection_lifetime"`
	// UploadBytes is the mean size of an upload.
	UploadBytes int `koanf:"upload_bytes" validate:"min=1"`
	// RequestTimeout is the longest time that one request may take, including all attempts.
	RequestTimeout time.Duration `koanf:"request_timeout" validate:"min=1000000"`
	// Report is the file to which the caller writes the results of its requests.
	Report string `koanf:"report"`
	// Seed seeds the random times and contents of requests.
	Seed uint64 `koanf:"seed"`
}

// Platform is the section of the stand-in platform.
type Platform struct {
	// Listen is the HTTP address of the machine list.
	Listen string `koanf:"listen" validate:"omitempty,hostport"`
	// Delay is the deliberate lag of the list.
	Delay time.Duration `koanf:"delay"`
}

// Default returns the settings that a file need not state.
func Default() Settings {
	return Settings{
		Zone:       "zone-1",
		DataFolder: "data",
		Log:        Log{Level: "info", LinesPerSecond: 50, QueueLines: 1024, RingLines: 4096},
		Control: Control{
			ElectionTimeout:   time.Second,
			HeartbeatInterval: 150 * time.Millisecond,
			SnapshotEvery:     10_000,
			DeadAfter:         5 * time.Second,
		},
		Relay: Relay{ReportInterval: 500 * time.Millisecond},
		Balancer: Balancer{
			CacheFlows:        500_000,
			Workers:           2,
			StopGrace:         3 * time.Second,
			OpeningsPerSource: 2000,
			HeartbeatInterval: 500 * time.Millisecond,
		},
		Agent: Agent{
			ColdStart:         10 * time.Second,
			HeartbeatInterval: 500 * time.Millisecond,
			StopGrace:         10 * time.Minute,
			HealthPath:        "/health",
			HealthInterval:    time.Second,
		},
		Fabric: Fabric{PollInterval: 200 * time.Millisecond},
		Backend: Backend{
			Protocol:     "http",
			Slots:        2,
			ServiceTime:  20 * time.Millisecond,
			FeedInterval: 200 * time.Millisecond,
		},
		Caller: Caller{
			Duration:           10 * time.Second,
			CallsPerSecond:     10,
			AtMostOnceFraction: 0.3,
			Connections:        20,
			UploadBytes:        64 << 10,
			RequestTimeout:     5 * time.Second,
		},
		Direct: Direct{
			Followers:           64,
			PeerFollowers:       16,
			LinkShare:           0.9,
			LinkOverhead:        66,
			LinkAdmission:       0.5,
			LocalZoneWeight:     64,
			SpilloverCandidates: 3,
			LoadCandidates:      3,
			LoadAdmission:       0.6,
			MaxOccupancy:        5,
			LoadInterval:        40 * time.Millisecond,
			RenewalsPerSecond:   40,
			ToleratedLosses:     1,
			ElectionTimeout:     400 * time.Millisecond,
			HeartbeatInterval:   80 * time.Millisecond,
			SnapshotEvery:       400,
			SilentAfter:         5 * time.Second,
			RenewalInterval:     time.Second,
			FlowLife:            time.Minute,
			AnswerWithin:        850 * time.Millisecond,
			StopGrace:           2500 * time.Millisecond,
		},
	}
}
