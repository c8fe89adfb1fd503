package event

import "github.com/sirupsen/logrus"

// Events of the node process: 100 to 199.
var (
	NodeStarted     = register(100, logrus.InfoLevel, "node started")
	NodeReady       = register(101, logrus.InfoLevel, "node ready")
	KeysNotReloaded = register(110, logrus.WarnLevel, "keys not reloaded")
)

// Events of declarations: 200 to 299.
var (
	VersionChanged = register(200, logrus.InfoLevel, "version in force changed")
	RecordRejected = register(210, logrus.WarnLevel, "record of declarations rejected")
)

// Events of members: 300 to 399.
var (
	MemberChanged = register(300, logrus.InfoLevel, "member changed")
)

// Events of the own backend server: 400 to 499.
var (
	BackendAnnounced = register(400, logrus.InfoLevel, "backend server announced")
	BackendLost      = register(410, logrus.WarnLevel, "backend server lost")
)

// Events of key ownership: 500 to 599.
var (
	EpochChanged = register(500, logrus.InfoLevel, "owner table changed")
)

// Unlisted stands for an event that has no number yet.
var Unlisted = register(999, logrus.InfoLevel, "unlisted event")
