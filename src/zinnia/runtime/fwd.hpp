#pragma once

namespace zinnia::runtime {

class Poller;
class EventLoop;
class File;
class FileSystem;
class LogStorage;
class ReplicaDriver;
class StreamClient;
class StreamServer;
class SteadyClock;
class UdpSocket;
class DatagramReceiver;
class DatagramSender;
struct Readiness;
enum class LoopError : unsigned char;
struct SettingsError;
class TableReader;
struct LogSettings;
class Counter;
class Gauge;
class LatencyHistogram;
class MetricsRegistry;
struct HttpRequest;
struct HttpResponse;
class HttpServer;
class HttpClient;
enum class FileError : unsigned char;
enum class StorageError : unsigned char;
enum class StreamError : unsigned char;

} // namespace zinnia::runtime
