package event

// Name is the value of the field event of a log line. docs/OPERATIONS.md describes each event and its fields.
type Name string

// The events of a router that takes its state from the platform's store.
const (
	AcceptFailed            Name = "acceptFailed"
	ConfigurationInForce    Name = "configurationInForce"
	ConfigurationUnreadable Name = "configurationUnreadable"
	DomainBack              Name = "domainBack"
	DomainDrained           Name = "domainDrained"
	EndpointGone            Name = "endpointGone"
	EndpointLeaving         Name = "endpointLeaving"
	EndpointPaused          Name = "endpointPaused"
	EndpointResumed         Name = "endpointResumed"
	EndpointUsable          Name = "endpointUsable"
	EntryColdUnreadable     Name = "entryColdUnreadable"
	EntryUnreadable         Name = "entryUnreadable"
	HubFollowed             Name = "hubFollowed"
	HubLost                 Name = "hubLost"
	LinesDropped            Name = "linesDropped"
	ListenerLost            Name = "listenerLost"
	NotListed               Name = "notListed"
	OrderUnreadable         Name = "orderUnreadable"
	ReadinessChanged        Name = "readinessChanged"
	RecordsTrimmed          Name = "recordsTrimmed"
	RequestFailed           Name = "requestFailed"
	RequestRefused          Name = "requestRefused"
	RequestServed           Name = "requestServed"
	RouterListRestored      Name = "routerListRestored"
	RoutersUnknown          Name = "routersUnknown"
	ServiceReachable        Name = "serviceReachable"
	ServiceUnreachable      Name = "serviceUnreachable"
	SettingsRefused         Name = "settingsRefused"
	SettingsReloaded        Name = "settingsReloaded"
	Started                 Name = "started"
	Stopped                 Name = "stopped"
	Stopping                Name = "stopping"
	StreamContinued         Name = "streamContinued"
	StoreLost               Name = "storeLost"
	StoreRegained           Name = "storeRegained"
	StoreRestored           Name = "storeRestored"
)
