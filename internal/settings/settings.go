// Package settings defines, loads and checks the settings of every process.
// All roles share one YAML file format; each role reads its own section.
package settings

import "time"

// Settings is one process's settings file.
type Settings struct {
	// Node is the unique name of the process.
	Node string `koanf:"node" validate:"required,max=64"`
	// Zone is the failure zone of the process.
	Zone string `koanf:"zone" validate:"required,max=64"`
	// Region is the region of the zone.
	Region string `koanf:"region" validate:"max=64"`
	// DataFolder holds durable state, keys and ring files.
	DataFolder string `koanf:"data_folder" validate:"required"`
	// Listen is the address of control traffic (TCP).
	Listen string `koanf:"listen" validate:"omitempty,hostport"`
	// Status is the HTTP address of health, readiness and metrics.
	Status string `koanf:"status" validate:"omitempty,hostport"`
	// Keys is the folder with this process's certificate, key and authority.
	// Empty means unencrypted links, for tests on loopback only.
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

// Direct is the section of the roles that serve direct services: a member of
// their control group and a balancer in front of targets without an agent.
type Direct struct {
	// Seeds are the control addresses of members to start from.
	Seeds []string `koanf:"seeds" validate:"dive,hostport"`
	// MemberPort, when it is not zero, replaces the ports of the seeds.
	MemberPort int `koanf:"member_port" validate:"min=0,max=65535"`
	// Bootstrap tells that the seeds found a new group with empty disks.
	Bootstrap bool `koanf:"bootstrap"`
	// API is the address on which a member serves targets and operators.
	API string `koanf:"api" validate:"omitempty,hostport"`
	// Admin is the address on which a member serves operators in the product's
	// own terms (merlinctl direct); empty serves none. It asks for no token, so
	// it belongs on a network of operators alone.
	Admin string `koanf:"admin" validate:"omitempty,hostport"`
	// Packets is the UDP address on which a balancer gets callers' packets.
	Packets string `koanf:"packets" validate:"omitempty,hostport"`
	// LinkMegabits is the rate of a balancer's link in Mbit/s, each way. Zero
	// means that the link has no bound.
	LinkMegabits float64 `koanf:"link_megabits" validate:"min=0,max=1000000"`
	// LinkShare is the share of its link's rate that a balancer sends at. What it
	// carries then waits in its own queue, where short requests go first, and not
	// in front of the link towards it.
	LinkShare float64 `koanf:"link_share" validate:"gt=0,max=1"`
	// LinkOverhead is the number of bytes that the link takes for each datagram besides
	// its content: 28 of IP and UDP heads, and 38 of Ethernet's preamble, head, check
	// sequence and gap (IEEE 802.3). With too small a figure, calls of many small
	// datagrams overrun the link behind the balancer's own queue.
	LinkOverhead int `koanf:"link_overhead" validate:"min=28,max=512"`
	// LinkAdmission is the share of its route's objective in which the link has to
	// carry a new flow's long request, after those that are open; a flow that would
	// take longer is refused, so that its caller comes to another balancer. Zero
	// admits all flows.
	LinkAdmission float64 `koanf:"link_admission" validate:"min=0,max=10"`
	// Followers bounds the balancers that a member feeds; more of them follow
	// other balancers.
	Followers int `koanf:"followers" validate:"min=1,max=10000"`
	// PeerFollowers bounds the balancers that a balancer feeds. Zero, or no
	// listen address, feeds none.
	PeerFollowers int `koanf:"peer_followers" validate:"min=0,max=10000"`
	// LocalZoneWeight is how many times as many new flows a target of the balancer's own
	// zone gets as one of another zone, while it has room; one is no preference. A
	// zone's flows that stay in it are not lost when it is cut off.
	LocalZoneWeight float64 `koanf:"near_weight" validate:"min=1,max=10000"`
	// SpilloverCandidates is the number of targets of other zones among which a balancer
	// gives a new flow to the least busy one while those of its own zone have no idle
	// slot; zero keeps all flows near.
	SpilloverCandidates int `koanf:"spill_candidates" validate:"min=0,max=8"`
	// LoadCandidates is the number of targets among which a balancer gives a
	// new flow to the least busy one; one chooses by hash alone.
	LoadCandidates int `koanf:"load_candidates" validate:"min=1,max=8"`
	// LoadAdmission is the share of its route's objective that the first request
	// of a new flow may be expected to take; a flow that would take longer waits
	// for room and is refused then. Zero admits all flows.
	LoadAdmission float64 `koanf:"load_admission" validate:"min=0,max=10"`
	// MaxOccupancy is how many requests for each of its slots a target may hold before new
	// flows of the most urgent routes are refused, those of less urgent ones from fewer
	// on. Targets queue a few requests and turn the others away, whatever their priority,
	// so it is as much as they hold; zero bounds none.
	MaxOccupancy float64 `koanf:"load_crowd" validate:"min=0,max=1000"`
	// LoadInterval is the least time between two reports of open requests, of
	// balancers to each other or, in a large system, to members and back; zero
	// shares none.
	LoadInterval time.Duration `koanf:"load_interval" validate:"min=0,max=1000000000"`
	// Zones are the zones of the system with their regions. A balancer needs them for
	// routes that targets of some regions alone may serve.
	Zones []Zone `koanf:"zones" validate:"dive"`
	// Renewals is the address on which a balancer takes renewals of targets
	// that members hand over; empty takes none.
	Renewals string `koanf:"renewals" validate:"omitempty,hostport"`
	// RenewalsPerSecond is the number of renewals that a member takes before it
	// hands targets over to balancers. Zero hands over none.
	RenewalsPerSecond int `koanf:"renewals_per_second" validate:"min=0,max=1000000"`
	// ToleratedLosses is the number of members that may be lost at once; the
	// group keeps twice as many voters and one more, and three at the least.
	ToleratedLosses int `koanf:"tolerated_losses" validate:"min=0,max=4"`
	// ToleratedZones is the number of zones whose members may be lost at once.
	ToleratedZones int `koanf:"tolerated_zones" validate:"min=0,max=4"`
	// ElectionTimeout is the shortest time without a leader before an
	// election.
	ElectionTimeout time.Duration `koanf:"election_timeout" validate:"min=50000000"`
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval time.Duration `koanf:"heartbeat_interval" validate:"min=10000000"`
	// SnapshotEvery is the number of log entries between snapshots.
	SnapshotEvery int `koanf:"snapshot_every" validate:"min=1"`
	// SilentAfter is how long a target may send no renewal before it is
	// probed.
	SilentAfter time.Duration `koanf:"silent_after" validate:"min=500000000"`
	// RenewalInterval is the time between two renewals of a target.
	RenewalInterval time.Duration `koanf:"renewal_interval" validate:"min=10000000"`
	// FlowLife is the longest life of a flow; the token of a target that is
	// gone is kept as long.
	FlowLife time.Duration `koanf:"flow_life" validate:"min=1000000000"`
	// AnswerWithin bounds the time in which a member answers a call.
	AnswerWithin time.Duration `koanf:"answer_within" validate:"min=10000000"`
	// StopGrace is how long a balancer that stops as planned keeps forwarding,
	// so that the routers can learn that it leaves.
	StopGrace time.Duration `koanf:"stop_grace" validate:"min=0,max=300000000000"`
}

// Zone is a zone of the system and its region.
type Zone struct {
	// Name is the zone's name, as targets state it.
	Name string `koanf:"name" validate:"required"`
	// Region is the name of the region that the zone lies in, as routes state it.
	Region string `koanf:"region" validate:"required"`
}

// Log is the section of structured log lines.
type Log struct {
	// Output tells whether lines go to standard output besides the ring.
	Output bool `koanf:"output"`
	// Level is the lowest level that goes to standard output.
	Level string `koanf:"level" validate:"oneof=debug info warn error"`
	// LinesPerSecond bounds the lines of one kind on standard output.
	LinesPerSecond int `koanf:"lines_per_second" validate:"min=1,max=100000"`
	// QueueLines bounds the lines that wait for standard output.
	QueueLines int `koanf:"queue_lines" validate:"min=1,max=1000000"`
	// RingLines is the number of lines that are kept for a crash.
	RingLines int `koanf:"ring_lines" validate:"min=1,max=1000000"`
}

// Peer is the name and control address of another process.
type Peer struct {
	// Name is the other process's unique name.
	Name string `koanf:"name" validate:"required,max=64"`
	// Address is its control address.
	Address string `koanf:"address" validate:"required,hostport"`
	// Zone is its failure zone.
	Zone string `koanf:"zone" validate:"max=64"`
}

// Control is the section of the control role.
type Control struct {
	// Members are the first members of the group, this one among them.
	Members []Peer `koanf:"members" validate:"dive"`
	// Join tells that this member joins a running group as a learner.
	Join bool `koanf:"join"`
	// API is the address of the administration API (HTTPS).
	API string `koanf:"api" validate:"omitempty,hostport"`
	// Tokens is the file with bearer tokens, roles and tenants.
	Tokens string `koanf:"tokens"`
	// ElectionTimeout is the shortest time without a leader before an
	// election.
	ElectionTimeout time.Duration `koanf:"election_timeout" validate:"min=100000000"`
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval time.Duration `koanf:"heartbeat_interval" validate:"min=10000000"`
	// SnapshotEvery is the number of log entries between snapshots.
	SnapshotEvery int `koanf:"snapshot_every" validate:"min=1"`
	// DeadAfter is how long a target may be silent before it counts as dead.
	DeadAfter time.Duration `koanf:"dead_after" validate:"min=1000000000"`
	// Platform is the URL of the platform's machine list, a late hint.
	Platform string `koanf:"platform" validate:"omitempty,url"`
}

// Relay is the section of the relay role.
type Relay struct {
	// Control lists the control members, or relays through which to reach them.
	Control []Peer `koanf:"control" validate:"dive"`
	// ReportInterval is the time between folded reports to control.
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
	// Workers is the number of receive loops.
	Workers int `koanf:"workers" validate:"min=1,max=256"`
	// StopGrace is how long a balancer that stops as planned keeps forwarding,
	// so that the fabric can learn that it leaves.
	StopGrace time.Duration `koanf:"stop_grace" validate:"min=0,max=300000000000"`
	// OpeningsPerSource bounds the TCP SYN and QUIC Initial packets a second
	// from one source address; zero means no bound.
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
	// Fabric is the Geneve address that carries answers to callers.
	Fabric string `koanf:"fabric" validate:"omitempty,hostport"`
	// Backend is the address of the back end, HTTP/1.1 over TCP or UDP.
	Backend string `koanf:"backend" validate:"omitempty,hostport"`
	// Certificate is the tenant's TLS certificate file; empty makes a
	// self-signed pair in the data folder.
	Certificate string `koanf:"certificate"`
	// Key is the file with the certificate's private key.
	Key string `koanf:"key"`
	// ColdStart is the length of the ramp after a start.
	ColdStart time.Duration `koanf:"cold_start"`
	// HeartbeatInterval is the time between heartbeats to the relay.
	HeartbeatInterval time.Duration `koanf:"heartbeat_interval" validate:"min=50000000"`
	// StopGrace bounds how long a planned stop waits for open feeds, uploads
	// and other requests.
	StopGrace time.Duration `koanf:"stop_grace" validate:"min=0"`
	// HealthPath is the path of the back end's health report; empty asks for
	// none.
	HealthPath string `koanf:"health_path" validate:"omitempty,startswith=/"`
	// HealthInterval is the time between two health reports.
	HealthInterval time.Duration `koanf:"health_interval" validate:"min=50000000"`
}

// Fabric is the section of the stand-in fabric.
type Fabric struct {
	// Addresses are the virtual addresses (IP and port) that it owns.
	Addresses []string `koanf:"addresses" validate:"dive,hostport"`
	// Geneve is the UDP address for encapsulated packets.
	Geneve string `koanf:"geneve" validate:"omitempty,hostport"`
	// Platform is the URL of the machine list with the live balancers.
	Platform string `koanf:"platform" validate:"omitempty,url"`
	// PollInterval is the time between two reads of the machine list.
	PollInterval time.Duration `koanf:"poll_interval" validate:"min=10000000"`
	// Balancers is a fixed list of balancers, for use without a platform.
	Balancers []Peer `koanf:"balancers" validate:"dive"`
	// Control is the HTTP address at which loss, reordering and zone cuts are
	// switched on and off; empty means none.
	Control string `koanf:"control" validate:"omitempty,hostport"`
	// Latencies give one-way delays between zones.
	Latencies []Latency `koanf:"latencies" validate:"dive"`
	// Seed fixes the order in which packets are sprayed.
	Seed uint64 `koanf:"seed"`
}

// Latency is the one-way delay between two zones; "caller" names the callers.
type Latency struct {
	// From is the zone that sends.
	From string `koanf:"from" validate:"required"`
	// To is the zone that receives.
	To string `koanf:"to" validate:"required"`
	// Delay is the one-way latency.
	Delay time.Duration `koanf:"delay"`
}

// Backend is the section of the stand-in back end.
type Backend struct {
	// Listen is the HTTP/1.1 address.
	Listen string `koanf:"listen" validate:"omitempty,hostport"`
	// Ledger is the file that records what truly ran.
	Ledger string `koanf:"ledger"`
	// Slots is the number of requests it runs at once before it sheds.
	Slots int `koanf:"slots" validate:"min=0"`
	// ServiceTime is the mean time of a call.
	ServiceTime time.Duration `koanf:"service_time"`
	// Protocol is "http", or "udp" for an echo of plain datagrams.
	Protocol string `koanf:"protocol" validate:"omitempty,oneof=http udp"`
	// FeedInterval is the time between two updates of a feed.
	FeedInterval time.Duration `koanf:"feed_interval" validate:"min=1000000"`
	// ColdStart is how long after its start calls take longer than usual.
	ColdStart time.Duration `koanf:"cold_start"`
	// Misbehavior names faults to show: late, crossed, short, doubled, shed,
	// health_frozen, load_frozen, wrong.
	Misbehavior []string `koanf:"misbehavior" validate:"dive,oneof=late crossed short doubled shed health_frozen load_frozen wrong"`
}

// Caller is the section of the stand-in caller.
type Caller struct {
	// Address is the virtual address of the service.
	Address string `koanf:"address" validate:"omitempty,hostport"`
	// Source is the local address to send from.
	Source string `koanf:"source"`
	// Duration is how long it makes new requests.
	Duration time.Duration `koanf:"duration"`
	// CallsPerSecond is the offered rate of calls.
	CallsPerSecond float64 `koanf:"calls_per_second"`
	// UploadsPerSecond is the offered rate of uploads.
	UploadsPerSecond float64 `koanf:"uploads_per_second"`
	// Feeds is the number of feeds that are held open.
	Feeds int `koanf:"feeds"`
	// AtMostOnceFraction is the part of the calls that may not be repeated.
	AtMostOnceFraction float64 `koanf:"at_most_once_fraction" validate:"min=0,max=1"`
	// Connections is the number of connections that calls and uploads share.
	Connections int `koanf:"connections" validate:"min=1"`
	// ConnectionLifetime is the mean time after which the caller itself
	// replaces a connection; zero keeps connections.
	ConnectionLifetime time.Duration `koanf:"connection_lifetime"`
	// UploadBytes is the mean size of an upload.
	UploadBytes int `koanf:"upload_bytes" validate:"min=1"`
	// RequestTimeout bounds one request with all its attempts.
	RequestTimeout time.Duration `koanf:"request_timeout" validate:"min=1000000"`
	// Report is the file for the caller's own account of its requests.
	Report string `koanf:"report"`
	// Seed fixes the order of requests.
	Seed uint64 `koanf:"seed"`
}

// Platform is the section of the stand-in platform.
type Platform struct {
	// Listen is the HTTP address of the machine list.
	Listen string `koanf:"listen" validate:"omitempty,hostport"`
	// Delay is how late the list is, on purpose.
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
