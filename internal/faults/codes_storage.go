package faults

// Codes of durable storage.
const (
	// StorageDamaged: a record in the middle of the log is damaged.
	StorageDamaged Code = 2001
	// StorageForeign: the log belongs to another group or member.
	StorageForeign Code = 2002
	// StorageLocked: another process uses the folder.
	StorageLocked Code = 2003
	// StorageStopped: the log stopped because an earlier write or sync failed.
	StorageStopped Code = 2004
	// StorageFull: the disk is full.
	StorageFull Code = 2005
	// StorageWriteFailed: a write or sync failed.
	StorageWriteFailed Code = 2006
	// StorageSnapshotDamaged: the newest snapshot is damaged and the log does
	// not reach back to an older one.
	StorageSnapshotDamaged Code = 2007
	// StorageVersion: the files were written by an unknown format version.
	StorageVersion Code = 2008
	// StorageUnusable: the folder or a file in it cannot be opened or created.
	StorageUnusable Code = 2009
	// StorageLostEntries: entries that the member acknowledged are missing.
	StorageLostEntries Code = 2010
	// StorageIncomplete: part of the member's files is missing.
	StorageIncomplete Code = 2011
)

// replaceMember is the operator's action for a disk whose content is no longer reliable.
const replaceMember = "Keep a copy of the folder, remove the member from the group, empty the folder and add the member again; it returns under a new ID and catches up from the others."

var storageDefinitions = []Definition{
	{Code: StorageDamaged, Name: "StorageDamaged", Meaning: "A record in the middle of the write-ahead log is damaged, so later records cannot be trusted. Nothing was changed.", Action: replaceMember},
	{Code: StorageForeign, Name: "StorageForeign", Meaning: "The folder's log belongs to another group or member. Nothing was changed.", Action: "Correct data_folder or node in the settings file, or put the right disk back."},
	{Code: StorageLocked, Name: "StorageLocked", Meaning: "Another process uses the data folder.", Action: "Stop the other process or name another data_folder."},
	{Code: StorageStopped, Name: "StorageStopped", Meaning: "The log stopped after a failed write or sync and takes nothing more.", Action: "Look at the first failure in the ring file, mend the disk and restart the process."},
	{Code: StorageFull, Name: "StorageFull", Meaning: "The disk is full; the member takes no part until there is room.", Action: "Free space under data_folder; the member then goes on by itself."},
	{Code: StorageWriteFailed, Name: "StorageWriteFailed", Meaning: "A write or sync failed; the member stopped, because what reached the disk is unknown.", Action: "Check the disk and restart the process; if it fails again, replace the member."},
	{Code: StorageSnapshotDamaged, Name: "StorageSnapshotDamaged", Meaning: "The newest snapshot is damaged and the log does not reach back to an older one.", Action: replaceMember},
	{Code: StorageVersion, Name: "StorageVersion", Meaning: "The files were written by a format version that this program does not know.", Action: "Run the version of the program that wrote the folder."},
	{Code: StorageUnusable, Name: "StorageUnusable", Meaning: "The data folder or a file in it cannot be opened.", Action: "Check data_folder, its owner and permissions."},
	{Code: StorageLostEntries, Name: "StorageLostEntries", Meaning: "The log lacks entries that this member acknowledged earlier; the end of the log was damaged.", Action: replaceMember},
	{Code: StorageIncomplete, Name: "StorageIncomplete", Meaning: "Part of the member's files is missing.", Action: replaceMember},
}
