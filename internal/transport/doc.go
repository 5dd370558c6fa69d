// Package transport carries protocol.Envelope values between processes as a gob stream over TCP, or
// over TLS if the process has keys.
//
// The process that sends the first message to a peer dials it; the peer answers over the same
// connection. Delivery is not guaranteed: send queues are bounded and drop their oldest messages,
// and a broken connection loses the messages in flight. Senders repeat messages or resynchronize.
//
// Module provides *protocol.Mailbox, *protocol.Dispatcher and *Links. It requires settings.Settings,
// model.Role, *zap.Logger, *prometheus.Registry and *process.Tasks.
package transport
