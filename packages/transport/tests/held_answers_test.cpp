// Guards against answers that use up the memory in sum, each within its bound.
#include "carobtide/transport.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <future>
#include <list>
#include <string>
#include <thread>
#include <vector>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;

namespace {

constexpr Duration kPatience = std::chrono::seconds(30);
constexpr std::size_t kBodyBytes = 1'000'000;

/** Answers every connection's first request with the same bytes. */
class Peer
{
public:
  explicit Peer(std::string aAnswer)
    : mAnswer(std::move(aAnswer))
    , mThread([this] { Accept(); })
  {
  }
  ~Peer()
  {
    boost::system::error_code ec;
    mStopping = true;
    tcp::socket wake(mContext);
    wake.connect(mAcceptor.local_endpoint(), ec);
    mThread.join();
    std::ranges::for_each(mSockets, [&](tcp::socket& aSocket) {
      aSocket.shutdown(tcp::socket::shutdown_both, ec);
    });
    std::ranges::for_each(mWriters, &std::thread::join);
  }

  Endpoint Address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

private:
  void Accept()
  {
    while (true) {
      tcp::socket socket(mContext);
      boost::system::error_code ec;
      mAcceptor.accept(socket, ec);
      if (mStopping) {
        return;
      }
      mSockets.push_back(std::move(socket));
      mWriters.emplace_back([this, &peer = mSockets.back()] {
        boost::system::error_code code;
        std::string head;
        asio::read_until(peer, asio::dynamic_buffer(head), "\r\n\r\n", code);
        asio::write(peer, asio::buffer(mAnswer), code);
      });
    }
  }

  const std::string mAnswer;
  asio::io_context mContext;
  tcp::acceptor mAcceptor{ mContext,
                           { asio::ip::make_address("127.0.0.1"), 0 } };
  std::list<tcp::socket> mSockets;
  std::list<std::thread> mWriters;
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

/** One answer: read when it is told to be, held until it is released. */
class Reading
{
public:
  Reading(const Peer& aPeer, WorkerPool& aWorkers,
          std::shared_ptr<MemoryRoom> aRoom, Duration aPatience = kPatience)
    : mExecutor(aWorkers.At(0))
  {
    mBody = asio::co_spawn(
      mExecutor,
      Run(aPeer.Address(), std::move(aRoom), aPatience, &mConnection),
      asio::use_future);
  }
  ~Reading() { Release(); }

  bool IsDone()
  {
    return mBody.wait_for(std::chrono::milliseconds(50)) ==
           std::future_status::ready;
  }
  Result<std::string> Body() { return mBody.get(); }

  void Release()
  {
    OnExecutor([this] {
      if (mConnection) {
        mConnection->ReleaseMemory();
      }
    });
  }
  void Cancel()
  {
    OnExecutor([this] { mConnection->Cancel(); });
  }

private:
  static awaitable<Result<std::string>> Run(
    Endpoint aAddress, std::shared_ptr<MemoryRoom> aRoom, Duration aPatience,
    std::unique_ptr<HttpConnection>* aConnection)
  {
    auto connecting = ConnectHttp(aAddress, kPatience);
    auto connected = co_await std::move(connecting);
    REQUIRE(connected);
    *aConnection = std::move(*connected);
    HttpConnection& connection = **aConnection;
    HoldParties parties;
    parties.mReceiver = "caller";
    connection.HoldIn(aRoom, parties);
    const HttpRequest request;
    auto sending = connection.Send(request, kPatience);
    const auto head = co_await std::move(sending);
    REQUIRE(head);
    auto reading = connection.ReadAll(16 * kMiB, aPatience);
    auto body = co_await std::move(reading);
    co_return body;
  }

  template<class Action>
  void OnExecutor(Action aAction)
  {
    std::promise<void> done;
    asio::post(mExecutor, [&] {
      aAction();
      done.set_value();
    });
    done.get_future().wait();
  }

  asio::any_io_executor mExecutor;
  std::unique_ptr<HttpConnection> mConnection;
  std::future<Result<std::string>> mBody;
};

std::shared_ptr<MemoryRoom> MakeRoomFor(std::size_t aAnswers)
{
  HoldAccountOptions options;
  options.mAnswerRoom = { kMiB, static_cast<Bytes>(aAnswers) * kMiB, 0, 0 };
  options.mReceiverShare = 1;
  return std::make_shared<MemoryRoom>(options);
}

std::string Whole(std::size_t aBytes)
{
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBytes) +
         "\r\n\r\n" + std::string(aBytes, 'x');
}

std::string Chunked(std::size_t aBytes)
{
  std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  constexpr std::size_t kChunk = 0x1000;
  for (std::size_t n = 0; n < aBytes; n += kChunk) {
    text += "1000\r\n" + std::string(kChunk, 'x') + "\r\n";
  }
  return text + "0\r\n\r\n";
}

} // namespace

TEST_CASE("large answers are read one after another where there is no room")
{
  const Peer peer(GENERATE(Whole(kBodyBytes), Chunked(kBodyBytes)));
  const Peer small(Whole(900));
  WorkerPool workers(1);
  workers.Start();
  const auto room = MakeRoomFor(2);
  std::list<Reading> readings;
  for (int n = 0; n < 4; ++n) {
    readings.emplace_back(peer, workers, room);
  }
  const auto countDone = [&] {
    return std::ranges::count_if(readings, &Reading::IsDone);
  };
  const auto until = std::chrono::steady_clock::now() + kPatience;
  while (countDone() < 2 && std::chrono::steady_clock::now() < until) {
  }
  CHECK(countDone() == 2);
  CHECK(room->Stats(HoldKind::Answer).mHeld <= 2 * kMiB + 128 * kKiB);
  CHECK(room->Stats(HoldKind::Answer).mWaiting == 2);
  // Small ones go on.
  CHECK(Reading(small, workers, room).Body());
  for (Reading& reading : readings) {
    if (reading.IsDone()) {
      reading.Release();
    }
  }
  for (Reading& reading : readings) {
    const auto body = reading.Body();
    REQUIRE(body);
    CHECK(body->size() >= kBodyBytes);
    reading.Release();
  }
  CHECK(room->Stats(HoldKind::Answer).mHeld == 0);
}

TEST_CASE(
  "an answer that finds no room in time is not read, nor after a cancel")
{
  const Peer peer(Whole(kBodyBytes));
  WorkerPool workers(1);
  workers.Start();
  const auto room = MakeRoomFor(1);
  Reading first(peer, workers, room);
  REQUIRE(first.Body());
  Reading late(peer, workers, room, std::chrono::milliseconds(100));
  CHECK(late.Body().Code() == ErrorCode::Timeout);
  Reading cancelled(peer, workers, room);
  while (room->Stats(HoldKind::Answer).mWaiting == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  cancelled.Cancel();
  CHECK(cancelled.Body().Code() == ErrorCode::Cancelled);
  CHECK(room->Stats(HoldKind::Answer).mWaiting == 0);
}

TEST_CASE("an answer to HEAD needs no room for the body that it names")
{
  const Peer peer("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n");
  WorkerPool workers(1);
  workers.Start();
  const auto ask = [](Endpoint aPeer) -> awaitable<Result<HttpResponse>> {
    HttpRequest request;
    request.mMethod = "HEAD";
    auto fetching = FetchOnce(aPeer, std::move(request), kPatience);
    auto response = co_await std::move(fetching);
    co_return response;
  };
  const auto response =
    asio::co_spawn(workers.At(0), ask(peer.Address()), asio::use_future).get();
  REQUIRE(response);
  CHECK(response->mBody.empty());
}

} // namespace carobtide
