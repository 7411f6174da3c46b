package operatorconfig

// Section is a part of a configuration, or of a job that is checked against one.
type Section int

// Sections.
const (
	// SectionVersion is the version of the configuration.
	SectionVersion Section = iota
	SectionQueues
	SectionServices
	SectionLimits
	// SectionSteps is the steps of a job.
	SectionSteps
)

// Field is a setting of a queue, a service, the limits or a step.
type Field int

// Fields.
const (
	// FieldNone stands for the whole entry.
	FieldNone Field = iota
	FieldName
	FieldHost
	FieldPathPrefix
	FieldService
	FieldTimeout
	FieldTargetLatency
	FieldPriority
	FieldMaxAttempts
	FieldStretch
	FieldAdvisor
	FieldTicketValidity
	FieldHealthPath
	FieldEnforcesCapacity
	FieldStandby
	FieldHeaderBytes
	FieldBodyBytes
	FieldHeaderTimeout
	FieldIdleTimeout
	FieldTasks
	FieldCPU
	FieldMemory
	FieldGPUs
	FieldRequiredLabel
	FieldDataRack
	FieldMayMiss
)

// Location is a place in a configuration or a job. The platform's name for it is
// platform.LocationPath.
type Location struct {
	Section Section
	// Index is the position in the section's list; it is ignored if the section is no list,
	// and a negative one stands for the whole section.
	Index int
	Field Field
}
