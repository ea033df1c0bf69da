// Package disk stores a controller's durable Raft state in one data folder: the
// identity of the replica, the newest snapshot and the log entries after it. Init
// prepares a folder, Open returns a Store for it and the state read from it.
//
// Every file consists of checksummed records. A record is written and synced
// before anything in it is acknowledged. Whole files are replaced by a rename that
// is followed by a sync of the folder. When the log is opened, an incomplete last
// record is truncated; a damaged record with a valid record after it is refused
// with ErrDamaged, because synced data has been lost.
package disk
