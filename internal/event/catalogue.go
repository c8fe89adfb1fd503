package event

import "github.com/sirupsen/logrus"

// Events of the node process, 100 to 199.
var (
	NodeStarted     = register(100, logrus.InfoLevel, "node started")
	NodeReady       = register(101, logrus.InfoLevel, "node ready")
	KeyReloadFailed = register(110, logrus.WarnLevel, "keys not reloaded")
)

// Events of the contracts, 200 to 299.
var (
	VersionChanged = register(200, logrus.InfoLevel, "contract version changed")
	RecordRejected = register(210, logrus.WarnLevel, "record of declarations rejected")
)

// Events of the membership, 300 to 399.
var (
	MemberChanged = register(300, logrus.InfoLevel, "member changed")
)

// Events of the node's backend server, 400 to 499.
var (
	BackendAnnounced = register(400, logrus.InfoLevel, "backend server announced")
	BackendLost      = register(410, logrus.WarnLevel, "backend server lost")
)

// Events of the ownership of idempotency keys, 500 to 599.
var (
	EpochChanged = register(500, logrus.InfoLevel, "owner table changed")
)

// Unnumbered is logged for an event to which no number is assigned.
var Unnumbered = register(999, logrus.InfoLevel, "event without a number")

// Events of a node that runs on the platform of the users, 600 to 699.
var (
	NodeStopping          = register(600, logrus.InfoLevel, "node stopping")
	NodeStopped           = register(601, logrus.InfoLevel, "node stopped")
	SettingsReloaded      = register(602, logrus.InfoLevel, "settings reloaded")
	SettingsRejected      = register(603, logrus.WarnLevel, "settings rejected")
	NodeFailed            = register(604, logrus.ErrorLevel, "node failed")
	AddressInUse          = register(605, logrus.WarnLevel, "address in use")
	ConfigurationChanged  = register(610, logrus.InfoLevel, "active configuration changed")
	ConfigurationRejected = register(611, logrus.WarnLevel, "configuration rejected")
	RouteRestricted       = register(612, logrus.WarnLevel, "route served in a restricted way")
	LogUnavailable        = register(620, logrus.WarnLevel, "platform log unavailable")
	LogRecovered          = register(621, logrus.InfoLevel, "platform log available again")
	LogRestored           = register(622, logrus.WarnLevel, "platform log restored from a copy")
	LogPositionLost       = register(623, logrus.InfoLevel, "position not in the platform log")
	EntryChanged          = register(630, logrus.InfoLevel, "node entry changed")
	LinkOpened            = register(631, logrus.InfoLevel, "link opened")
	LinkLost              = register(632, logrus.WarnLevel, "link lost")
	AcceptFailed          = register(633, logrus.WarnLevel, "connection not accepted")
	EntryRejected         = register(634, logrus.WarnLevel, "node entry rejected")
	HeartbeatRejected     = register(640, logrus.WarnLevel, "heartbeat rejected")
	BackendStateChanged   = register(641, logrus.InfoLevel, "backend server state changed")
	ServerNoticeChanged   = register(642, logrus.InfoLevel, "server notice changed")
	ServerLimitInForce    = register(643, logrus.InfoLevel, "server limit in force")
	BackendCrashed        = register(644, logrus.WarnLevel, "backend server crashed")
	RequestMalformed      = register(650, logrus.WarnLevel, "request malformed")
	RequestRefused        = register(651, logrus.InfoLevel, "request refused")
	RequestOutcomeUnknown = register(652, logrus.WarnLevel, "request ended with an unknown outcome")
	RequestTimedOut       = register(653, logrus.InfoLevel, "request reached its time-out")
	ClientDisconnected    = register(654, logrus.InfoLevel, "client closed its connection")
	RequestRetried        = register(655, logrus.InfoLevel, "request sent to another server")
	OfferRefused          = register(656, logrus.InfoLevel, "offer refused")
	BackendRequestFailed  = register(657, logrus.WarnLevel, "run failed")
	MemoryExhausted       = register(658, logrus.WarnLevel, "memory budget exhausted")
	OfferWithdrawn        = register(659, logrus.InfoLevel, "offer withdrawn")
	RunCut                = register(660, logrus.WarnLevel, "run cut at the exit")
	KeyRejected           = register(661, logrus.InfoLevel, "request without a valid key")
	TermChanged           = register(670, logrus.InfoLevel, "allocation of a part of the limits begun or ended")
	AllocatorChanged      = register(671, logrus.InfoLevel, "allocator of a part of the limits changed")
	ServiceSheds          = register(680, logrus.WarnLevel, "service sheds requests")
	ServiceRecovered      = register(681, logrus.InfoLevel, "service sheds no more requests")
	RetryBudgetInUse      = register(682, logrus.InfoLevel, "retry budget in use")
	ServerSpeedChanged    = register(690, logrus.InfoLevel, "server speed changed")
)
