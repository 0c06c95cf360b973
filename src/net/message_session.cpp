#include "net/message_session.hpp"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <unordered_map>
#include <utility>

namespace amarantharch
{

namespace
{

constexpr std::uint32_t concurrent_streams = 128;
// Unfinished messages of one connection may hold this many times
// message_bytes.
constexpr std::size_t unfinished_messages = 4;
constexpr std::int32_t connection_window_bytes = std::int32_t{4} << 20;
constexpr std::string_view accepted = "200";

nghttp2_nv field(std::string_view name, std::string_view value)
{
    // nghttp2 copies names and values; it never writes through the pointers.
    auto* const n =
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data()));
    auto* const v =
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data()));
    return {n, v, name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

struct stream_row
{
    message_id id = 0;
    std::string bytes;    // received so far, or to be sent
    std::size_t sent = 0; // of bytes; dialer only
    bool accepted = false;
    bool rejected = false; // listener: was reset; its bytes are discarded
};

} // namespace

class message_session::impl
{
public:
    impl(session_role role, std::size_t message_bytes)
        : role_(role), message_bytes_(message_bytes)
    {
        nghttp2_session_callbacks* callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, on_header);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                                  on_data);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                             on_frame);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                               on_close);
        role == session_role::dialer
            ? nghttp2_session_client_new(&session_, callbacks, this)
            : nghttp2_session_server_new(&session_, callbacks, this);
        nghttp2_session_callbacks_del(callbacks);
        submit_settings();
    }

    ~impl()
    {
        nghttp2_session_del(session_);
    }

    impl(impl const&) = delete;
    impl& operator=(impl const&) = delete;

    void submit_settings()
    {
        std::array const settings{
            nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                                   concurrent_streams},
            nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
                                   connection_window_bytes},
            nghttp2_settings_entry{NGHTTP2_SETTINGS_ENABLE_PUSH, 0}};
        nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                                settings.size());
        nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                              connection_window_bytes);
    }

    absl::Status send(message_id id, std::string message)
    {
        std::array const fields{
            field(":method", "POST"), field(":scheme", "https"),
            field(":authority", "peer"), field(":path", "/message")};
        nghttp2_data_provider provider{};
        provider.read_callback = read_body;
        std::int32_t const stream =
            nghttp2_submit_request(session_, nullptr, fields.data(),
                                   fields.size(), &provider, nullptr);
        if (stream < 0)
        {
            return absl::UnavailableError(nghttp2_strerror(stream));
        }
        streams_[stream] = stream_row{id, std::move(message)};
        return absl::OkStatus();
    }

    absl::Status feed(std::string_view bytes)
    {
        auto const* const data =
            reinterpret_cast<std::uint8_t const*>(bytes.data());
        auto const used =
            nghttp2_session_mem_recv(session_, data, bytes.size());
        if (used < 0)
        {
            return absl::DataLossError(
                nghttp2_strerror(static_cast<int>(used)));
        }
        collect_output(); // a protocol error ends the session on its sending
        if (nghttp2_session_want_read(session_) == 0)
        {
            return absl::UnavailableError("the session has ended");
        }
        return absl::OkStatus();
    }

    std::string take_output()
    {
        collect_output();
        return std::exchange(output_, {});
    }

    void collect_output()
    {
        std::uint8_t const* data = nullptr;
        for (auto size = nghttp2_session_mem_send(session_, &data); size > 0;
             size = nghttp2_session_mem_send(session_, &data))
        {
            output_.append(reinterpret_cast<char const*>(data),
                           static_cast<std::size_t>(size));
        }
    }

    // -- Callbacks of nghttp2

    static impl& self(void* user_data)
    {
        return *static_cast<impl*>(user_data);
    }

    static ssize_t read_body(nghttp2_session* /*session*/, std::int32_t stream,
                             std::uint8_t* buffer, std::size_t length,
                             std::uint32_t* flags, nghttp2_data_source*,
                             void* user_data)
    {
        auto const found = self(user_data).streams_.find(stream);
        if (found == self(user_data).streams_.end())
        {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        stream_row& row = found->second;
        std::size_t const size = std::min(length, row.bytes.size() - row.sent);
        row.bytes.copy(reinterpret_cast<char*>(buffer), size, row.sent);
        row.sent += size;
        if (row.sent == row.bytes.size())
        {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(size);
    }

    static int on_header(nghttp2_session* /*session*/,
                         nghttp2_frame const* frame, std::uint8_t const* name,
                         std::size_t name_size, std::uint8_t const* value,
                         std::size_t value_size, std::uint8_t /*flags*/,
                         void* user_data)
    {
        std::string_view const key(reinterpret_cast<char const*>(name),
                                   name_size);
        std::string_view const text(reinterpret_cast<char const*>(value),
                                    value_size);
        auto& streams = self(user_data).streams_;
        auto const found = streams.find(frame->hd.stream_id);
        if (key == ":status" && found != streams.end())
        {
            found->second.accepted = text == accepted;
        }
        return 0;
    }

    static int on_data(nghttp2_session* session, std::uint8_t /*flags*/,
                       std::int32_t stream, std::uint8_t const* data,
                       std::size_t size, void* user_data)
    {
        impl& own = self(user_data);
        if (own.role_ != session_role::listener)
        {
            return 0; // acknowledgements have no body
        }
        stream_row& row = own.streams_[stream];
        if (row.rejected)
        {
            return 0;
        }
        if (row.bytes.size() + size > own.message_bytes_ ||
            own.unfinished_ + size > own.message_bytes_ * unfinished_messages)
        {
            nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, stream,
                                      NGHTTP2_ENHANCE_YOUR_CALM);
            own.unfinished_ -= row.bytes.size();
            row.bytes.clear();
            row.rejected = true;
            return 0;
        }
        row.bytes.append(reinterpret_cast<char const*>(data), size);
        own.unfinished_ += size;
        return 0;
    }

    static int on_frame(nghttp2_session* session, nghttp2_frame const* frame,
                        void* user_data)
    {
        impl& own = self(user_data);
        if (own.role_ != session_role::listener ||
            frame->hd.type != NGHTTP2_DATA ||
            (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0)
        {
            return 0;
        }
        auto const found = own.streams_.find(frame->hd.stream_id);
        if (found != own.streams_.end() && !found->second.rejected)
        {
            std::string message = std::move(found->second.bytes);
            own.unfinished_ -= message.size();
            own.streams_.erase(found);
            own.received_.push_back(std::move(message));
            std::array const fields{field(":status", accepted)};
            nghttp2_submit_response(session, frame->hd.stream_id, fields.data(),
                                    fields.size(), nullptr);
        }
        return 0;
    }

    static int on_close(nghttp2_session* /*session*/, std::int32_t stream,
                        std::uint32_t error_code, void* user_data)
    {
        impl& own = self(user_data);
        if (own.role_ == session_role::listener)
        {
            own.forget(stream);
            return 0;
        }
        auto const row = own.streams_.extract(stream);
        if (!row.empty())
        {
            own.results_.push_back(
                {row.mapped().id,
                 error_code == NGHTTP2_NO_ERROR && row.mapped().accepted});
        }
        return 0;
    }

    void forget(std::int32_t stream)
    {
        auto const row = streams_.extract(stream);
        if (!row.empty())
        {
            unfinished_ -= row.mapped().bytes.size();
        }
    }

    session_role role_;
    std::size_t message_bytes_;
    nghttp2_session* session_ = nullptr;
    std::unordered_map<std::int32_t, stream_row> streams_;
    // Listener: the sum of bytes over all streams.
    std::size_t unfinished_ = 0;
    std::string output_;
    std::vector<std::string> received_;
    std::vector<message_result> results_;
};

message_session::message_session(session_role role, std::size_t message_bytes)
    : impl_(std::make_unique<impl>(role, message_bytes))
{
}

message_session::~message_session() = default;

absl::Status message_session::send(message_id id, std::string message)
{
    return impl_->send(id, std::move(message));
}

absl::Status message_session::feed(std::string_view bytes)
{
    return impl_->feed(bytes);
}

std::string message_session::take_output()
{
    return impl_->take_output();
}

std::vector<std::string> message_session::take_received()
{
    return std::exchange(impl_->received_, {});
}

std::vector<message_result> message_session::take_results()
{
    return std::exchange(impl_->results_, {});
}

} // namespace amarantharch
