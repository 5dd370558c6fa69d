package faults

import "net/http"

// Codes of packets and routing; packetDefinitions has their meanings.
const (
	PacketTruncated          Code = 5001
	PacketVersion            Code = 5002
	PacketOptionMalformed    Code = 5003
	PacketOptionRepeated     Code = 5004
	PacketOptionUnknown      Code = 5005
	PacketOptionMissing      Code = 5006
	PacketKindUnknown        Code = 5007
	PacketChainMalformed     Code = 5008
	InnerPacketNotIP         Code = 5009
	InnerHeaderMalformed     Code = 5010
	InnerPacketFragmented    Code = 5011
	InnerTransportUnknown    Code = 5012
	PacketTooLarge           Code = 5013
	AddressFamiliesDiffer    Code = 5014
	PacketSocket             Code = 5020
	MachineListUnreadable    Code = 5030
	FabricControlRefused     Code = 5031
	VirtualAddressUnknown    Code = 5032
	FabricSettingsIncomplete Code = 5033
)

var packetDefinitions = []Definition{
	{Code: PacketTruncated, Name: "PacketTruncated", Meaning: "A packet ends before the lengths in its headers.", Action: "Look for a path with too small an MTU."},
	{Code: PacketVersion, Name: "PacketVersion", Meaning: "A packet is not Geneve version 0, or is an OAM packet.", Action: "Look for another sender on the packet port."},
	{Code: PacketOptionMalformed, Name: "PacketOptionMalformed", Meaning: "A Geneve option has the wrong length or value.", Action: "Compare the versions of the sender and of this process."},
	{Code: PacketOptionRepeated, Name: "PacketOptionRepeated", Meaning: "A Geneve option occurs twice.", Action: "Look for another sender on the packet port."},
	{Code: PacketOptionUnknown, Name: "PacketOptionUnknown", Meaning: "A critical Geneve option is not known here.", Action: "Upgrade this process before those that send to it."},
	{Code: PacketOptionMissing, Name: "PacketOptionMissing", Meaning: "A Geneve option that the kind of packet needs is absent.", Action: "Compare the versions of the sender and of this process."},
	{Code: PacketKindUnknown, Name: "PacketKindUnknown", Meaning: "The kind of a packet is not known here.", Action: "Compare the versions of the sender and of this process."},
	{Code: PacketChainMalformed, Name: "PacketChainMalformed", Meaning: "The chain of targets is empty, too long, or shorter than its position.", Action: "Compare the versions of the sender and of this process."},
	{Code: InnerPacketNotIP, Name: "InnerPacketNotIP", Meaning: "The inner packet is neither IPv4 nor IPv6.", Action: "Look for another sender on the packet port."},
	{Code: InnerHeaderMalformed, Name: "InnerHeaderMalformed", Meaning: "An inner IP, UDP or TCP header contradicts itself.", Action: "None; callers can send such packets."},
	{Code: InnerPacketFragmented, Name: "InnerPacketFragmented", Meaning: "The inner packet is an IP fragment, which names no flow.", Action: "Lower the callers' packet size; fragments are not forwarded."},
	{Code: InnerTransportUnknown, Name: "InnerTransportUnknown", Meaning: "The inner packet is neither UDP nor TCP.", Action: "None; callers can send such packets."},
	{Code: PacketTooLarge, Name: "PacketTooLarge", Meaning: "A packet does not fit into one UDP datagram with its headers.", Action: "Lower the callers' packet size."},
	{Code: AddressFamiliesDiffer, Name: "AddressFamiliesDiffer", Meaning: "The source and destination of a flow are not of one IP version, or are not set.", Action: "Correct the virtual address or the caller's address."},
	{Code: PacketSocket, Name: "PacketSocket", Meaning: "The UDP socket for packets could not be opened or failed.", Action: "Check the address in the settings and whether another process holds it."},
	{Code: MachineListUnreadable, Name: "MachineListUnreadable", Meaning: "The platform's list of machines could not be read; the last list stays in use.", Action: "Check the platform's address."},
	{Code: FabricControlRefused, Name: "FabricControlRefused", Meaning: "A request to the fabric's control endpoint was malformed.", Action: "Correct the request; nothing was changed.", HTTPStatus: http.StatusBadRequest},
	{Code: VirtualAddressUnknown, Name: "VirtualAddressUnknown", Meaning: "An answer came from a virtual address that the fabric does not own.", Action: "Add the address to the fabric's settings."},
	{Code: FabricSettingsIncomplete, Name: "FabricSettingsIncomplete", Meaning: "The fabric's settings lack a value it cannot run without.", Action: "Add the value that the message names."},
}
